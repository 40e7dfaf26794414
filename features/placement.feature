Feature: Replicas are decided, recorded, then ordered
  Loads and memory are judged by the engines' own histories.

  @promise @promise-01
  Scenario: First requests for one model come to all entries at once
    Given 8 entries and 3 engines of 1000 MB
    And the model "frames" of 600 MB with 1 replica
    And the placement fleet runs
    When 24 first requests for "frames" come to all entries at once
    Then each of them is answered
    And at most 1 replica of "frames" was ever loaded
    And 1 replica of "frames" is decided

  @promise @promise-01
  Scenario: The owner dies between the record and the order
    Given 4 entries and 1 engine of 1000 MB
    And the model "frames" of 600 MB with 1 replica
    And the placement fleet runs
    When the owner of engine "w0" is paused
    And a request for a model that another entry decides is begun
    And the decision is in the record
    And the owner is killed
    Then the request is answered
    And at most 1 replica of it was ever loaded

  @promise @promise-01
  Scenario: The owner dies between the order and its reply
    Given 4 entries and 1 engine of 1000 MB
    And the model "frames" of 600 MB with 1 replica
    And orders to the engines pass a proxy
    And the placement fleet runs
    When replies of engine "w0" to its owner come late
    And a request at another entry is begun
    And engine "w0" got an order to load
    And the owner is killed
    Then the request is answered
    And at most 1 replica of "frames" was ever loaded
    And engine "w0" got 1 order to load from each owner at most

  @promise @promise-01
  Scenario: The owner dies while the weight store is slow
    Given 4 entries and 2 engines of 1000 MB
    And the model "frames" of 600 MB with 1 replica
    And the placement fleet runs
    And a pull from the weight store takes 8 s
    When 8 first requests for "frames" come to all entries but the owner
    And the owner is killed
    Then each of them is answered
    And at most 1 replica of "frames" was ever loaded

  @promise @promise-01
  Scenario: A paused owner continues with an order in hand, fencing
    Given 4 entries and 1 engine of 1000 MB
    And the model "frames" of 600 MB with 1 replica, idle after 2 s
    And orders to the engines pass a proxy
    And the placement fleet runs
    When an order to load is held up and its owner is paused
    And another entry owns engine "w0"
    Then requests at the other entries are answered
    And the model is unloaded once idle
    When the owner continues and the order arrives
    Then engine "w0" refuses the order
    And nothing is loaded that is not decided

  @promise @promise-01
  Scenario: A paused owner continues with an order in hand, no fencing
    Given 4 entries and 1 engine of 1000 MB that ignores fencing
    And the model "frames" of 600 MB with 1 replica, idle after 2 s
    And orders to the engines pass a proxy
    And the placement fleet runs
    When an order to load is held up and its owner is paused
    And another entry owns engine "w0"
    Then requests at the other entries are refused as not run
    And engine "w0" got no order of the new owner
    When the owner continues and the order arrives
    Then nothing is loaded that is not decided

  @promise @promise-01
  Scenario: A load fails half way
    Given 4 entries and 2 engines of 1000 MB
    And the model "frames" of 600 MB with 1 replica
    And the placement fleet runs
    And the next 2 loads fail half way
    When 8 first requests for "frames" come to all entries at once
    Then each of them is answered
    And at most 1 replica of "frames" was ever loaded

  @promise @promise-01
  Scenario: The platform takes writes and loses the replies
    Given 4 entries and 3 engines of 1000 MB
    And the model "frames" of 600 MB with 1 replica
    And the placement fleet runs
    And the platform loses the replies to the next 6 writes
    When 16 first requests for "frames" come to all entries at once
    Then each of them is answered
    And at most 1 replica of "frames" was ever loaded
    And 1 replica of "frames" is decided

  @promise @promise-01
  Scenario: The platform is out
    Given 4 entries and 2 engines of 1000 MB
    And the model "frames" of 300 MB with 1 replica
    And the model "husk" of 300 MB with 1 replica
    And the placement fleet runs
    And a request for "frames" is answered
    When the platform is out
    Then a request for "frames" is answered within 2 s
    And a request for "husk" is refused as not run within 5 s
    When the platform is back
    Then a request for "husk" is answered within 10 s

  @promise @promise-02
  Scenario: Two models fit singly but not together
    Given 4 entries and 1 engine of 1000 MB
    And the model "frames" of 600 MB with 1 replica
    And the model "husk" of 600 MB with 1 replica
    And the placement fleet runs
    When 12 requests for "frames" and "husk" come in turn to all entries
    Then each of them is answered
    And no engine was overcommitted

  @promise @promise-02
  Scenario: The owner dies while models take turns in the memory
    Given 4 entries and 2 engines of 1000 MB
    And the model "frames" of 600 MB with 2 replicas
    And the model "husk" of 600 MB with 2 replicas
    And the placement fleet runs
    When the owner of engine "w0" dies amid 24 requests in turn
    Then each request at a living entry is answered or truly not run
    And no engine was overcommitted

  @promise @promise-02
  Scenario: An operator loaded something by hand
    Given 2 entries and 1 engine of 1000 MB
    And the model "frames" of 600 MB with 1 replica
    And the placement fleet runs
    And "husk" of 600 MB was loaded at engine "w0" by hand
    Then a request for "frames" is answered within 10 s
    And no engine was overcommitted

  Scenario: An adapter is loaded beside its base model
    Given 2 entries and 2 engines of 1000 MB
    And the model "frames" of 600 MB with 1 replica
    And the adapter "nelson" on "frames"
    And the placement fleet runs
    When 6 first requests for "nelson" come to all entries at once
    Then each of them is answered
    And at most 1 replica of "frames" was ever loaded

  Scenario: An idle replica is unloaded, and loaded when asked for again
    Given 2 entries and 1 engine of 1000 MB
    And the model "frames" of 600 MB with 1 replica, idle after 2 s
    And the placement fleet runs
    And a request for "frames" is answered
    Then the model "frames" is unloaded once idle
    And a request for "frames" is answered within 5 s
