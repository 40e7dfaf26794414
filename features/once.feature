Feature: A request that may not be repeated runs at most once
  The services count their effects; each refusal is held against them.

  @promise @promise-10 @promise-09
  Scenario: A service breaks off before and after the effect
    Given a request fleet of 2 entries
    And the request fleet runs
    When orders meet each of these faults of a service
      | fault        |
      | close_before |
      | close_after  |
      | hang         |
      | late         |
    And each order with a key is tried again at another entry
    Then no order ran twice
    And each answer and each refusal of an order is true

  @promise @promise-10 @promise-09
  Scenario: The network fails between an entry and the services
    Given a request fleet of 2 entries
    And orders pass a proxy
    And the request fleet runs
    When orders meet each of these faults of the network
      | fault     |
      | cut reply |
      | half_open |
      | freeze    |
      | blackhole |
      | cut       |
      | refuse    |
    Then some orders ran although no answer came
    When each order with a key is tried again at another entry
    Then no order ran twice
    And each answer and each refusal of an order is true

  @promise @promise-10
  Scenario: One key comes to all entries at once
    Given a request fleet of 3 entries
    And the request fleet runs
    When each of 8 keys comes 6 times at once to all entries
    Then no order ran twice
    And all tries of a key got one answer

  @promise @promise-10
  Scenario: A key comes again with another order
    Given a request fleet of 1 entries
    And the request fleet runs
    When a key comes again with another order
    Then the other order is refused and did not run

  @promise @promise-10 @promise-09
  Scenario: The entry is killed while the order runs
    Given a request fleet of 2 entries
    And the request fleet runs
    When an entry is killed while its orders run
    And each order with a key is tried again at another entry
    Then no order ran twice

  @promise @promise-10 @promise-09
  Scenario Outline: The platform <fault> at that moment
    Given a request fleet of 2 entries
    And the request fleet runs
    When orders come while the platform <fault>
    And each order with a key is tried again at another entry
    Then no order ran twice
    And each answer and each refusal of an order is true
    And each order with a key was answered in the end

    Examples:
      | fault             |
      | refuses           |
      | hangs             |
      | loses replies     |
      | takes writes late |
      | shows old copies  |
