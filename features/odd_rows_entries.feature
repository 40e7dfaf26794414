Feature: Entries go on beside odd rows, as real processes

  Background:
    Given a store, the workers "e1 e2" with the model "m0" and "p1 p2"

  Scenario: Odd registrations come to the list
    Given the entry "one"
    When odd registrations stand in the list
    And the worker "p3" registers
    Then within 3 s "/stock/7" is answered by "p3" at times
    When the worker "p1" leaves the list
    Then within 3 s "/stock/7" is no longer answered by "p1"
    And "one" is the same process, and has logged the odd registrations

  Scenario: An entry starts while odd registrations stand in the list
    When odd registrations stand in the list
    Given the entry "one"
    Then "/stock/7" is answered 200
    When the worker "p3" registers
    Then within 3 s "/stock/7" is answered by "p3" at times
    And "one" is the same process

  Scenario: An engine's report is odd
    Given the entry "one"
    When the reports of "e1" and "e2" are odd in many ways, and then sound
    Then within 5 s a stream of "m1" is served
    And "one" is the same process

  Scenario: Odd rows stand among the operator's
    Given the entry "one"
    When odd rows stand in the operator's table
    Then "/stock/7" is answered 200
    And "one" is the same process
    When the operator removes the route of "/stock/"
    Then within 3 s "/stock/7" is answered 404

  Scenario: Odd rows stand among those of the peers
    When odd rows stand among those of the peers
    Given the entries "one" and "two"
    Then "/stock/7" is answered 200
    And "one" is the same process
    And "two" is the same process

  Scenario: Odd datagrams arrive
    Given the entries "one" and "two"
    When odd datagrams arrive at "one"
    Then "/stock/7" is answered 200
    And "one" is the same process
    And the directory of "one" still names 2 entries
