Feature: An endpoint stops within an answer without length or chunks

  # Guards against empty answers that are framed as whole.
  Background:
    Given a store, the workers "e1 e2" with the model "m0" and "p1 p2"
    And the entry "one"

  Scenario Outline: No part of a head is taken for an answer to a <kind>
    Given connections to all workers that are kept
    When the head of the answers to a <kind> stops at each place
    Then each of these heads was met
    And none of them is answered as a success
    And a <kind> without a fault is answered whole

    Examples:
      | kind           |
      | look-up        |
      | order          |
      | draft          |
      | stream         |
      | resumed stream |

  Scenario: A whole answer without length or chunks is passed on
    Given the next request at each plain worker meets "unframed_end"
    When a caller asks for "/stock/a" with a forged customer
    Then it gets 200 with a worker's signature
    And it has the worker's whole body

  # The kernel closes the connections of a crashed process in order.
  Scenario: An endpoint crashes within a plain answer
    Given the next request at each plain worker meets "unframed_crash"
    When a caller asks for "/stock/a" with a forged customer
    Then it gets 502

  Scenario: An endpoint crashes between two events of a stream
    Given the next request at each engine meets "unframed_crash"
    When a caller asks at "/draft/a" for a stream of "m0"
    Then its answer is cut after event 3

  Scenario: A stream goes on elsewhere after its endpoint crashed
    Given the next request at 1 engine meets "unframed_crash"
    When a caller asks for a stream of "m0" until each engine was asked
    Then each answer has the events 1 to 6, and is whole
