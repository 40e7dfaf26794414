Feature: No peer's bytes hold the event loop

  Background:
    Given a store, the workers "e1 e2" with the model "m0" and "p1 p2"

  Scenario: The log names what held the event loop
    When a task holds the event loop for 80 ms for the request "r1"
    Then one line tells of the request "r1" and of 80 ms or more
    And the metrics count one slow step

  # An endless event in chunks of 32 bytes was searched anew at each chunk,
  # and stopped the entry for all callers for up to eleven seconds.
  Scenario Outline: An answer without end holds up no other request
    Given the entry "one"
    And 4 requests at each worker "<workers>" meet "<fault>"
    When callers post to "/orders/1" for 4 s beside <streams> streams
    Then at most <failed> orders fail
    And each order to a sound worker is answered within 1000 ms
    And each order is answered within 500 ms after its deadline
    And the entry "one" uses less than 90 MB

    Examples:
      | workers | fault                 | streams | failed |
      | e1 e2   | endless_event         | 4       | 0      |
      | e1 e2   | endless_tiny_event    | 4       | 0      |
      | e1 e2   | endless_comments      | 4       | 0      |
      | e1 e2   | endless_comment_block | 4       | 0      |
      | e1 e2   | endless_lines         | 4       | 0      |
      | p1      | endless_tiny          | 0       | 4      |
      | p1      | endless_failure       | 0       | 4      |

  Scenario Outline: The work for a stream grows with its bytes only
    When <size> bytes without the end of an event come in chunks of <chunk>
    Then they are searched at most <times> times over

    Examples:
      | size  | chunk | times |
      | 65536 | 32    | 2     |
      | 4000  | 1     | 2     |

  Scenario Outline: Sound streams stay whole
    When <events> events of <size> bytes come in chunks of <chunk>
    Then all <events> events are taken

    Examples:
      | events | size   | chunk |
      | 50000  | 64     | 64    |
      | 300    | 300    | 1     |
      | 4      | 900000 | 16384 |
      | 20000  | 64     | 65536 |
