Feature: Endpoints name the rate of requests that they take

  Background:
    Given a store, the workers "e1 e2" with the model "m0" and "p1 p2"
    And the entries "one" and "two"

  # Guards against the excess of incident 2026-12-named-limit.
  Scenario Outline: More requests than the endpoints of a service take
    Given each <kind> names a limit of <limit> requests a second
    When callers send <rate> requests a second to each entry for 10 s
    Then from 3 s on no <kind> gets more than its limit allows in 4 s
    And at least 0.7 of what the limits allow is answered
    And what is refused was refused within 0.6 s, with the time to return

    Examples:
      | kind         | limit | rate |
      | engine       | 2     | 8    |
      | plain worker | 1.5   | 8    |
      | engine       | 0.4   | 4    |

  Scenario: An endpoint no longer names a limit
    Given each engine names a limit of 1 requests a second
    When callers send 4 requests a second to each entry for 3 s
    And each engine names a limit of 0 requests a second
    And callers send 4 requests a second to each entry for 5 s
    Then of the last 12 requests all are answered

  Scenario: An endpoint names a limit that is no number
    Given each engine names a limit of "many" requests a second
    When callers send 4 requests a second to each entry for 2 s
    Then of the last 16 requests all are answered
    And the log of "one" tells of the malformed limit "many"
