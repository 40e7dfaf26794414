Feature: A request on a kept connection gets an answer

  Background:
    Given a store, the workers "e1 e2" with the model "m0" and "p1 p2"
    And the entries "one" and "two"
    And a caller keeps a connection to the entry "one"

  Scenario Outline: A caller offers a protocol that the entry does not speak
    When another caller asks for "/stock/7" with the header "<header>"
    Then it gets 200 in HTTP/1.1
    And the kept connection gets 200

    Examples:
      | header                                       |
      | Upgrade: h2c                                 |
      | Upgrade: h2c; HTTP2-Settings: AAMAAABkAAQAoA |
      | Upgrade: h2c; HTTP2-Settings: A              |
      | Upgrade: h2c; HTTP2-Settings: AAX/////       |
      | Upgrade: websocket; Connection: Upgrade      |

  Scenario Outline: A caller begins with the preface of HTTP/2
    When another caller sends the preface of HTTP/2 and the frame "<frame>"
    Then the kept connection gets 200

    Examples:
      | frame |
      | 000009010500000001828641016104022fe9 |
      | 00000c0105000000010207434f4e4e454354410161 |

  Scenario Outline: A caller states numbers that no other part can hold
    Given plain workers answer after 1 s
    When another caller asks for "/open/7" with the header "<header>"
    Then it gets 400 in HTTP/1.1
    And the kept connection gets 200

    Examples:
      | header                                         |
      | X-Token-Count: 99999999999999999999999999,1    |
      | X-Token-Count: -99999999999999999999999999,1   |
      | X-Token-Count: 5,-1                            |
      | X-Prompt-Prefix: ab:99999999999999999999999999 |
      | X-Request-Deadline: nan                        |

  Scenario Outline: A row of the store holds what no entry writes
    When the row "<row>" of the table "<table>" is overwritten for 2 s
    Then the kept connection gets 200
    And the entry "one" logs "<line>"
    And no task of the entry "one" has failed

    Examples:
      | table        | row    | line                                |
      | dogwoodwheel | leader | lease: malformed row                |
      | entries      | other  | membership: malformed rows          |

  Scenario: A background task fails
    When a background task fails twice
    Then it is started again each time, and its errors are counted

  Scenario: A request outlasts the time in which its entry must stop
    Given plain workers answer after 6 s
    When the entry "one" is stopped while the kept connection posts to "/orders/1"
    Then that request gets 504

  # Guards against requests that are cut at the end of a planned stop.
  Scenario: The body of an order arrives late in the stop of its entry
    Given plain workers answer after 2 s
    And the entry "one" has answered an order
    When the body of an order arrives 3.2 s after the entry "one" got SIGTERM
    Then it is refused as not run within 0.5 s, and the connection closes
    And no worker was asked again

  Scenario: A worker is told when the stop of the entry ends
    When the body of an order arrives 1 s after the entry "one" got SIGTERM
    Then the order is answered whole
    And the worker was given at most 3 s for it

  Scenario: A stream is cut, and the log and the metrics tell why
    Given the next request at each engine meets "break"
    When a caller asks at "/draft/a" for a stream of "m0"
    Then its answer is cut after event 3
    And the entry "one" logs a cut answer with its engine and "broken_off"

  Scenario Outline: Callers name models that do not exist
    When callers ask for <count> models with names of <length> characters
    Then for 3 s both entries name the entry "one" to callers

    Examples:
      | count | length |
      | 3     | 50000  |
      | 800   | 200    |
