Feature: A refusal that is written once more is not the answer

  Scenario Outline: The client of endpoints receives an earlier refusal
    Given an endpoint that <replied> "a", and then writes a refusal of <of>
    When requests "<ids>" follow on its kept connections
    Then each gets its own reply or none

    Examples:
      | replied | of          | ids |
      | refused | "a"         | a   |
      | refused | "a"         | b a |
      | served  | "a"         | b   |
      | served  | no ID       | b c |
      | served  | "b" and "a" | b   |
      | served  | "a" and "b" | b   |
      | served  | "a"         | -   |

  Scenario: Workers write refusals without an ID on kept connections
    Given a store, the workers "e1 e2" with the model "m0" and "p1 p2"
    And the entry "one"
    And the plain workers take 0.1 s for each request
    When 8 callers post to "/orders/1" at once
    And the next 8 requests at each plain worker meet "unnamed_refusal"
    And 8 callers post to "/orders/1" one by one
    Then no order ran twice, and none that ran is answered as not run

  Scenario: Engines refuse a request, and then write the refusal once more
    Given a store, the workers "e1 e2" with the model "m0" and "p1 p2"
    And the entry "one"
    And the next requests at each engine meet "missing" and "repeated_refusal"
    When a caller asks at "/draft/a" for a stream of "m0"
    Then it gets the events 1 to 6
    And 1 engine ran it

  Scenario Outline: A worker runs a request and answers as if it had not
    Given a store, the workers "e1 e2" with the model "m0" and "p1 p2"
    And the entry "one"
    And the next request at each plain worker meets "<fault>"
    When a caller posts to "/orders/1"
    Then it gets 502
    And 1 plain workers ran it

    Examples:
      | fault   |
      | ran_408 |
      | ran_429 |
      | ran_503 |

  Scenario: A worker's success states that it has not run the request
    Given a store, the workers "e1 e2" with the model "m0" and "p1 p2"
    And the entry "one"
    And the next request at each plain worker meets "ran_denied"
    When a caller posts to "/orders/1"
    Then it gets 200 with a worker's signature
    And 1 plain workers ran it
