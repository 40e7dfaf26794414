Feature: A stream that is resumed ends whole, or is visibly cut

  Background:
    Given a store, the workers "e1 e2" with the model "m0" and "p1 p2"
    And the entry "one"

  Scenario Outline: The next worker answers with no part of the stream
    Given the next request at each engine meets "resumed_<fault>"
    When a caller asks for a stream of "m0"
    Then its answer has the events 1 to <last>, and is cut
    And 2 engine was asked

    Examples:
      | fault          | last |
      | error          | 3    |
      | ran_503        | 3    |
      | full           | 3    |
      | unsigned       | 3    |
      | empty_unframed | 3    |
      | restart        | 3    |
      | no_content     | 3    |
      | other_type     | 3    |
      | partial        | 3    |
      | unnumbered     | 3    |
      | error_inside   | 3    |

  Scenario Outline: A stream is spoilt, and the next worker is sound
    Given the next request at 1 engine meets "<fault>"
    When a caller asks for a stream of "m0" until each engine was asked
    Then each answer has the events 1 to 6, and is whole

    Examples:
      | fault          |
      | break          |
      | empty_unframed |
      | bad_chunk      |
      | skip_in_chunk  |
      | hang_in_event  |
