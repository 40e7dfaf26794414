Feature: Calls that a silent outage of the store leaves hanging

  # A poll that was sent in the last moments of an outage stayed deaf after it;
  # a change was in force only once the poll had timed out.
  Scenario Outline: A change is written just after a silent outage
    Given a store, the workers "e1 e2" with the model "m0" and "p1 p2"
    And the entries "one" and "two"
    When the operator writes a configuration
    And the store loses all calls <after> s later, for <for> s
    And the key "key-new" is added
    Then within 3 s "/stock/7" with the key "key-new" is answered 200

    Examples:
      | after | for |
      | 0.2   | 5.8 |
      | 0.2   | 5.3 |
      | 3.0   | 3.3 |
      | 4.4   | 1.2 |

  Scenario: A zone is evacuated just after a silent outage
    Given a store, the workers "e1 e2" with the model "m0" and "p1 p2"
    And the entry "one"
    When the operator writes a configuration
    And the store loses all calls 0.2 s later, for 5.8 s
    And zone "zone-a" is evacuated
    Then within 3 s the workers of "zone-a" get nothing more

  Scenario: A peer's scan shows that the store is back
    When a long poll is lost in an outage of 4 s in which no peer scans
    Then it is given up within 1 s after a peer has scanned again

  Scenario: Nothing is given up while the store answers
    When peers scan every 1.3 s for 60 s, and long polls wait 15 s
    Then the store was polled 4 times

  Scenario: A reply to an earlier call ends no later one
    When a call fails, and the reply to an earlier one arrives after it
    Then a call that was sent between is not given up
