Feature: Endpoints say in their answers that they leave

  Scenario Outline: An endpoint has said that it leaves
    Given an entry with the endpoints "i-1 i-2", of which "i-1" has said that it leaves
    When the registrations are <registrations>
    Then requests go to "<used>" only

    Examples:
      | registrations                           | used    |
      | unchanged                               | i-2     |
      | missing for 30 s and back               | i-2     |
      | draining for i-1, and then ready        | i-2     |
      | restored from an older start of i-1     | i-2     |
      | of a later start of i-1                 | i-1 i-2 |
      | of i-3 at the address of i-1            | i-2 i-3 |

  Scenario Outline: An answer says nothing that can be understood
    Given an entry with the endpoints "i-1 i-2"
    When an answer of "i-1" has the header "server-leaving" with <value>
    Then requests go to "i-1 i-2" only
    And an answer was logged as malformed

    Examples:
      | value         |
      | x             |
      | 2             |
      | -1            |
      | 1e400         |
      | %b2           |
      | 5000 digits   |

  Scenario: A peer has been told
    Given an entry with the endpoints "i-1 i-2", of which "i-1" has said that it leaves
    When a peer hears of it in a heartbeat
    Then the peer sends requests to "i-2" only
    And the peer does not pass on what it heard

  Scenario: The registrations tell the same
    Given an entry with the endpoints "i-1 i-2", of which "i-1" has said that it leaves
    When the registrations are draining for i-1
    Then heartbeats do not mention that "i-1" leaves

  Scenario: A load goes on at an engine that leaves
    Given an entry with the endpoints "i-1 i-2"
    When "i-1" loads a model, and says that it leaves
    Then no request waits for that load

  Scenario: An endpoint that leaves breaks off
    Given an entry with the endpoints "i-1 i-2", of which "i-1" has said that it leaves
    When the answer to a prompt breaks off at "i-1"
    Then nothing connects to it, and it does not count as a crash

  Scenario: A plain worker leaves while its registration says ready
    Given a store, the workers "e1 e2" with the model "m0" and "p1 p2"
    And the entries "one" and "two"
    When "p1" says in its answers that it leaves
    And callers ask "one" for "/stock/a" until "p1" has answered
    Then from then on 20 requests for "/stock/a" at "one" reach only "p2"
    And 1 s later 20 requests for "/stock/a" at "two" reach only "p2"
    And 2 s later 20 requests for "/stock/a" at "one" reach only "p2"
    And the log of "one" tells that "p1" leaves, from an "answer"
    And the log of "two" tells that "p1" leaves, from a "peer"

  Scenario: A worker that has left starts again at its address
    Given a store, the workers "e1 e2" with the model "m0" and "p1 p2"
    And the entry "one"
    When "p1" says in its answers that it leaves
    And callers ask "one" for "/stock/a" until "p1" has answered
    And the registration of "p1" goes for 1.5 s and comes back
    Then from then on 20 requests for "/stock/a" at "one" reach only "p2"
    When "p1" has started again under the same id
    Then callers who ask "one" for "/stock/a" reach "p1" again

  Scenario: Streams run, break off and wait as an engine leaves
    Given a store, the workers "e1 e2" with the model "m0" and "p1 p2"
    And the entry "one"
    And the engines take 0.3 s for each event
    When "e1" says in its answers that it leaves
    And 8 callers begin a stream at "one", of which "e1" breaks off one
    Then all streams are whole
    And "e1" gets no request later than 0.5 s after its first answer
    And "e1" gets neither reports nor orders later than 0.5 s after it

  Scenario: The only engine with a model leaves
    Given a store, the workers "e1 e2" with the model "m0" and "p1 p2"
    And the worker "e3" with the model "m1"
    And the entries "one" and "two"
    When "e3" says in its answers that it leaves
    And callers ask "one" for streams of "m1" until "e3" has answered
    Then within 3 s a stream of "m1" at "one" is answered elsewhere than at "e3"
    And "e3" gets neither reports nor orders later than 0.5 s after it
