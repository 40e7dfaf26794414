Feature: Which models are loaded, replayed without sockets

  Scenario: A request waits for a model that lies on a disk
    Given engines "a" with "m0 m1 m5" and "b" with "m2 m3 m5"
    And engine "b" has "m4" on its disk
    When 1 request waits for "m4"
    Then the plan makes room on "b" for "m4"

  Scenario: A model that requests use does not make way
    Given engines "a" with "m0 m1 m5" and "b" with "m2 m3 m5"
    And engine "b" has "m4" on its disk
    And requests are in flight for "m2" at "b"
    When 1 request waits for "m4"
    Then the plan unloads a model other than "m2" at "b"

  Scenario: The demand moves to another model
    Given engines "a" with "m0 m1" and "b" with "m2 m3"
    And all engines have all models on their disks
    When "m0" is asked for 2 times a second
    Then within 4 rounds "m0" is held by 2 engines

  Scenario: A model is asked for somewhat more than one replica is to bear
    Given engines "a" with "m0 m1 m2" and "b" with "m3 m4 m5"
    When "m0" is asked for 3 times a second
    Then the plan loads nothing

  Scenario: A model is asked for far more than one replica is to bear
    Given engines "a" with "m0 m1 m2" and "b" with "m3 m4 m5"
    When "m0" is asked for 8 times a second
    Then within 4 rounds "m0" is held by 2 engines

  Scenario: Models that the platform placed are not displaced ahead of need
    Given engines "a" with "m0 m1 m2" and "b" with "m0 m1 m3"
    When nothing is asked for
    Then nothing is unloaded

  Scenario: A copy is loaded ahead of need where there is room
    Given engines "a" with "m0 m1" and "b" with "m2 m3"
    When nothing is asked for
    Then "m4" and "m5" are loaded from the store

  Scenario: Rare models are asked for at once
    Given engines "a" with "m0 m1 m2" and "b" with "m0 m1 m3"
    And all engines have all models on their disks
    When 1 request waits for each of "m4 m5"
    Then within 6 rounds each of "m4 m5" was held

  Scenario: The ceiling of the weight store
    Given engines "a" with "" and "b" with ""
    When 1 request waits for each of "m0 m1 m2 m3 m4 m5"
    And no load may begin
    Then the plan loads nothing

  Scenario: A copy at an engine that is just ending an order
    Given engines "a" with "m0 m1 m5" and "b" with "m2 m3 m5"
    And engine "b" has "m4" on its disk
    And engine "b" is busy
    When 1 request waits for "m4"
    Then the plan loads nothing

  Scenario: An adapter is ordered once, where there is room
    Given engines "a" with "m0 m1" and "b" with "m0 m3"
    When 1 request waits for "m0/a1"
    Then one adapter order is given
    When engine "a" holds the adapter "a1"
    Then no adapter order is given

  Scenario: Rates follow the demand over restarts of entries
    When two entries count requests and one of them starts anew
    Then the rate is that of both

  Scenario: A report lacks the model that has just been loaded
    Given a leader that had the load of "m1" taken at an engine with "m0"
    When a report says that nothing goes on and lists only "m0"
    Then the engine counts as busy with "m1"
    When such a report comes 1 s later
    Then the engine is free for another order

  Scenario: A report that is older than our last order
    Given a leader that had the load of "m1" taken at an engine with "m0"
    When a report shows one order less than were taken
    Then the engine counts as busy with "m1"

  Scenario: An adapter makes way for another at once
    Given a leader that had the load of "m0" taken at an engine with "m0"
    When adapter "a1" of "m0" is unloaded there at once, and "a2" loaded
    Then the engine is told to expect one order more for the second one

  Scenario: An engine that loads a model refuses an adapter order
    Given a leader that had the load of "m1" taken at an engine with "m0"
    When the engine refuses an order for adapter "a1" of "m0" as busy
    Then the engine still counts as loading "m1"

  Scenario: The only engine with an adapter's model loads another model
    Given engines "a" with "m0 m1" and "b" with "m2 m3"
    And engine "a" is busy
    When 1 request waits for "m0/a1"
    Then no adapter order is given

  Scenario: A busy model asks for replicas while another has none
    Given engines "a" with "m0 m1 m2" and "b" with "m1 m2 m3"
    When "m0" is asked for 30 times a second
    And "m4" is asked for 8 times a second
    And 1 load from the weight store may begin
    Then the plan loads "m4"

  Scenario: The only engine with a model resets the connections
    Given engines "a" with "m0 m1" and "b" with "m1 m2 m3"
    And engine "b" has "m0" on its disk
    And engine "a" fails its requests
    When "m0" is asked for 5 times a second
    Then the plan makes room on "b" for "m0"

  Scenario: All engines seem to fail their requests
    Given engines "a" with "m0 m1" and "b" with "m1 m2 m3"
    And engine "b" has "m0" on its disk
    And engine "a" fails its requests
    And engine "b" fails its requests
    When "m2" is asked for 1 times a second
    Then nothing is unloaded

  Scenario: A rare model was refused often, and another one is asked for now
    Given engines "a" with "m0 m1 m2" and "b" with "m1 m2 m3"
    And 8 requests for "m4" were not served
    When 1 request waits for each of "m4 m5"
    And 1 load from the weight store may begin
    Then the plan loads "m4"
