Feature: A request crashes one endpoint after the other

  Background:
    Given a store, the workers "e1 e2" with the model "m0" and "p1 p2"
    And the entries "one" and "two"

  # Guards against the crashes of incident 2026-12-deadly-requests.
  Scenario Outline: Retries and repeats carry a <kind> to every endpoint
    Given a <kind> that crashes each endpoint for 0.7 s
    When callers send it 4 times a second for 10 s
    Then at most 3 of them reach endpoints later than 3 s after the third crash
    And at most 4 endpoints crash
    And it is refused as not run, with a time to come back
    And requests that share its path, customer, body or prompt are answered

    Examples:
      | kind    |
      | look-up |
      | order   |
      | stream  |

  Scenario: The log leads from a refused look-up to its crashes
    Given a look-up that crashes each endpoint for 0.7 s
    When callers send it 4 times a second for 3 s
    Then the log leads from the refused request to the crashes
    And no log shows the caller's key or the path in the digest's place
