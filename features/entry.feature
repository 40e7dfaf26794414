Feature: An entry on the operators' platform, as real processes

  Background:
    Given a store, the workers "e1 e2" with the model "m0" and "p1 p2"

  Scenario: Requests are routed, and the caller's key stays behind
    Given the entry "one"
    When a caller asks for "/stock/7?x=1" with a forged customer
    Then it gets 200 with a worker's signature
    And the worker saw the path "/stock/7?x=1" and the customer "husk"
    And no worker saw a key

  Scenario: What the configuration does not allow
    Given the entry "one"
    Then "/nowhere/" is answered 404
    And "/stock/7" with the key "wrong" is answered 401
    And "/stock/7" with the key "" is answered 401
    And "/open/7" with the key "" is answered 200

  Scenario: A stream passes whole
    Given the entry "one"
    When a caller asks for a stream of "m0"
    Then it gets the events 1 to 6

  Scenario: A stream that may be resumed goes on elsewhere
    Given the entry "one"
    And the next request at each engine meets "break"
    When a caller asks for a stream of "m0"
    Then it gets the events 1 to 6 or a cut answer, none twice

  Scenario: A stream that may not be resumed is cut where it broke
    Given the entry "one"
    And the next request at each engine meets "break"
    When a caller asks at "/draft/a" for a stream of "m0"
    Then its answer is cut after event 3
    And 1 engine was asked

  Scenario: A stream ends with its connection
    Given the entry "one"
    And the next request at each engine meets "unframed"
    When a caller asks at "/draft/a" for a stream of "m0"
    Then it gets the events 1 to 6
    And 1 engine was asked

  Scenario: A stream without a length ends inside an event
    Given the entry "one"
    And the next request at each engine meets "unframed_break"
    When a caller asks at "/draft/a" for a stream of "m0"
    Then its answer is cut after event 3

  Scenario: A stream without a length ends before its first event
    Given the entry "one"
    And the next request at each engine meets "unframed_empty"
    When a caller asks at "/draft/a" for a stream of "m0"
    Then it gets 502
    And 1 engine was asked

  Scenario: An event is missing in a stream that may not be resumed
    Given the entry "one"
    And the next request at each engine meets "skip"
    When a caller asks at "/draft/a" for a stream of "m0"
    Then its answer is cut after event 2

  Scenario Outline: A request that may run once, and its answer is spoilt
    Given the entry "one"
    And the next request at each plain worker meets "<fault>"
    When a caller posts to "/orders/1"
    Then it gets <status>
    And <count> plain workers ran it

    Examples:
      | fault    | status | count |
      | lose     | 502    | 1     |
      | short    | 502    | 1     |
      | other_id | 502    | 1     |
      | unsigned | 502    | 1     |
      | encoded  | 502    | 1     |
      | error    | 500    | 1     |

  Scenario Outline: Bytes that are no answer come without end
    Given the entry "one"
    And the next request at each plain worker meets "<fault>"
    When a caller posts to "/orders/1"
    Then it gets 502
    And it was held for less than 2000 ms
    And 1 plain workers ran it
    And the entry "one" uses less than 90 MB

    Examples:
      | fault           |
      | endless_head    |
      | endless_interim |
      | endless_body    |

  Scenario: A request that may run once, which a worker did not run
    Given the entry "one"
    And the next request at 1 plain worker meets "full"
    When a caller posts to "/orders/1"
    Then it gets 200
    And 1 plain workers ran it

  Scenario: Both workers refuse without running
    Given the entry "one"
    And the next request at each plain worker meets "full"
    When a caller posts to "/orders/1"
    Then it gets 503 and a time to come back

  Scenario Outline: A request that may be repeated
    Given the entry "one"
    And the next request at 1 plain worker meets "<fault>"
    When a caller asks for "/stock/7" twice
    Then each time it gets 200 with a worker's signature

    Examples:
      | fault    |
      | reset    |
      | short    |
      | other_id |
      | error    |
      | hang     |
      | surplus  |
      | unframed |
      | endless_head    |
      | endless_interim |
      | endless_body    |

  Scenario: A model that no engine holds is loaded
    Given the entry "one"
    When a caller asks for a stream of "m2"
    Then it gets the events 1 to 6
    And the engines took orders with rising tokens from one holder

  Scenario: An adapter that no engine holds is loaded
    Given the entry "one"
    When a caller asks for a stream of "m0/a1"
    Then it gets the events 1 to 6

  Scenario: Orders that get no answer and are carried out late
    Given the entry "one"
    And the next 2 orders at each engine are lost
    When a caller asks for a stream of "m3"
    Then it gets the events 1 to 6
    And no order that was late was carried out after another one

  Scenario: A model that takes longer to load than a caller waits
    Given the entry "one"
    When a caller who waits 300 ms asks for a stream of "m1"
    Then it gets 503 and a time to come back
    And it was held for less than 200 ms

  Scenario: A peer is paused, and requests at the other entry go on
    Given the entries "one" and "two"
    When the entry "two" is paused
    Then 20 requests at "one" take less than 400 ms each
    And within 3 s the directory of "one" names only "one"

  Scenario: The store hangs, and requests go on
    Given the entries "one" and "two"
    When the store hangs
    Then 20 requests at "one" take less than 400 ms each
    When the store answers again
    And the key "key-new" is added
    Then within 3 s "/stock/7" with the key "key-new" is answered 200

  Scenario: The store forgets its history
    Given the entry "one"
    When the store forgets its history
    And the key "key-new" is added
    Then within 3 s "/stock/7" with the key "key-new" is answered 200

  Scenario: The store is restored from a copy, twice
    Given the entries "one" and "two"
    When 3 s go by
    And the store is restored from 3 s ago
    And the store is restored from 2 s ago
    And the key "key-new" is added
    Then within 2 s "/stock/7" with the key "key-new" is answered 200
    When the worker "p1" registers that it is leaving
    And 2 s go by
    Then 20 requests for "/stock/7" reach only "p2"
    When a caller asks for a stream of "m2"
    Then it gets the events 1 to 6
    And the engines took orders with rising tokens from one holder

  Scenario: Answers of the store are lost
    Given the entry "one"
    When the store loses its answers
    And 4 s go by
    Then "one" still holds the lease with its first token

  Scenario: The leader is killed
    Given the entries "one" and "two"
    When the entry that leads is killed
    Then within 20 s the other one loads "m3" for a caller
    And orders of two holders are at least 3 s apart

  Scenario: A leaving endpoint gets nothing more
    Given the entry "one"
    When the worker "p1" registers that it is leaving
    And 1.5 s go by
    Then 20 requests for "/stock/7" reach only "p2"

  Scenario: A zone is evacuated
    Given the entry "one"
    When the zone of "p1" is evacuated
    And 1 s go by
    Then 20 requests for "/stock/7" reach only "p2"

  Scenario: An entry stops while it streams
    Given the entries "one" and "two"
    And the engines take 0.2 s for each event
    When a stream begins at "one" and it gets SIGTERM
    Then the stream ends whole
    And "one" ends with code 0
    And within 3 s the directory of "two" names only "two"

  Scenario: An entry is stopped while many callers send requests
    Given the entries "one" and "two"
    And the plain workers take 0.05 s for each request
    When 12 callers post to "one" without a pause, and it gets SIGTERM
    Then each request that was passed on is answered whole
    And "one" ends with code 0

  Scenario: A stream sends a byte now and then
    Given the entry "one"
    And the next request at each engine meets "trickle"
    When a caller who waits 1500 ms asks at "/draft/a" for a stream of "m0"
    Then its answer is cut after event 2
    And it was held for less than 2000 ms
    And no engine is still at work on it

  Scenario: A slow stream is sound
    Given the entry "one"
    And the engines take 0.5 s for each event
    When a caller asks for a stream of "m0"
    Then it gets the events 1 to 6

  Scenario: A caller leaves
    Given the entry "one"
    And the engines take 0.5 s for each event
    When a caller leaves a stream of "m0"
    Then within 1 s the engine's work is cut

  Scenario: A registration of another writer
    Given the entry "one"
    When a registration cannot be read
    And 1 s go by
    Then "one" logged that it cannot be read
    And "/stock/7" is answered 200

  Scenario: Lines of the log lead from a request to its cause
    Given the entry "one"
    And the next request at each plain worker meets "lose"
    When a caller posts to "/orders/1"
    Then the log of "one" tells of its attempt and of its refusal

  Scenario: A peer of another release sends fields of another shape
    Given the entries "one" and "two"
    When a heartbeat whose crashes have another shape reaches "one"
    Then the log of "one" tells that it did not understand "other"
    And "/stock/7" is answered 200
