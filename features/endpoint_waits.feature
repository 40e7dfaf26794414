Feature: Endpoints turn requests away, and name the time to return

  Scenario Outline: An endpoint has named a wait
    Given an entry with the endpoints "i-1 i-2"
    When an answer of "i-1" has the header "retry-after" with <value>
    Then <after> s later requests go to "<used>" only

    Examples:
      | value | after | used    |
      | 3     | 0     | i-2     |
      | 3     | 2.9   | i-2     |
      | 3     | 3.1   | i-1 i-2 |
      | 2.5   | 2.4   | i-2     |
      | 2.5   | 2.6   | i-1 i-2 |
      | 30    | 29.9  | i-2     |
      | 86400 | 29.9  | i-2     |
      | 86400 | 301   | i-1 i-2 |
      | 0     | 0     | i-1 i-2 |

  Scenario Outline: An answer names no time
    Given an entry with the endpoints "i-1 i-2"
    When an answer of "i-1" has the header "retry-after" with <value>
    Then requests go to "i-1 i-2" only
    And an answer was logged as malformed

    Examples:
      | value                         |
      | -1                            |
      | soon                          |
      | inf                           |
      | nan                           |
      | 1e400                         |
      | 1_0                           |
      | %b2                           |
      | 5000 digits                   |
      | Fri, 31 Dec 1999 23:59:59 GMT |

  Scenario: Only an answer that turns a request away names a wait
    Given an entry with the endpoints "i-1 i-2"
    When "i-1" answers 429 with "retry-after" 3
    Then requests go to "i-1 i-2" only

  Scenario: A shorter wait does not end a longer one
    Given an entry with the endpoints "i-1 i-2"
    When an answer of "i-1" has the header "retry-after" with 3
    And an answer of "i-1" has the header "retry-after" with 1
    Then 2 s later requests go to "i-2" only

  Scenario: Another incarnation has named no wait
    Given an entry with the endpoints "i-1 i-2"
    When an answer of "i-1" has the header "retry-after" with 30
    And the registrations are of a later start of i-1
    Then requests go to "i-1 i-2" only

  Scenario: An endpoint that has failed is better than one that wants nothing
    Given an entry with the endpoints "i-1 i-2"
    When "i-2" is ejected as an outlier
    And an answer of "i-1" has the header "retry-after" with 3
    Then requests go to "i-2" only

  Scenario Outline: All endpoints want nothing for 3 s
    Given an entry with the endpoints "i-1 i-2"
    When all endpoints have named a wait of 3 s
    Then a request with <left> s left is <outcome>

    Examples:
      | left | outcome                          |
      | 20   | refused at once, to return in 3 s |
      | 10   | refused at once, to return in 3 s |
      | 5    | sent after 3 s                    |
      | 2    | refused at once, to return in 3 s |

  Scenario: All endpoints want nothing for less than the target latency
    Given an entry with the endpoints "i-1 i-2"
    When all endpoints have named a wait of 0.3 s
    Then a request with 20 s left is sent after 0.3 s

  Scenario: A worker turns requests of one entry away
    Given a store, the workers "e1 e2" with the model "m0" and "p1 p2"
    And the entries "one" and "two"
    When "p1" turns requests away, to return in 3 s, until it has done so once
    And callers ask "one" for "/stock/a" 10 times a second for 5 s
    Then all were answered with 200
    And "p1" got at most 2 requests between 0.5 s and 3 s after it turned one away
    And "p1" got requests again after that
    And no worker counts as failing at "one"

  Scenario Outline: All workers turn requests away
    Given a store, the workers "e1 e2" with the model "m0" and "p1 p2"
    And the entry "one"
    When all plain workers turn requests away, to return in 3 s
    And a caller with <deadline> ms asks for "/stock/a"
    Then it is refused within 0.6 s, to return in 2.5 to 3 s
    When 1 s has gone by
    And a caller with <deadline> ms asks for "/stock/a"
    Then it is refused within 0.6 s, to return in 1.5 to 2 s
    And the plain workers got at most 2 requests each

    Examples:
      | deadline |
      | 1000     |
      | 20000    |

  Scenario: A caller can wait until the workers want requests again
    Given a store, the workers "e1 e2" with the model "m0" and "p1 p2"
    And the entry "one"
    When all plain workers turn requests away, to return in 2 s, until each has
    And a caller with 4000 ms asks for "/stock/a"
    Then it is answered with 200 after 1.9 to 2.6 s

  Scenario: Engines turn requests away
    Given a store, the workers "e1 e2" with the model "m0" and "p1 p2"
    And the entry "one"
    When "e1" turns requests away, to return in 3 s, until it has done so once
    And callers begin a stream at "one" 5 times a second for 4 s
    Then all were answered with 200
    And "e1" got at most 2 requests between 0.5 s and 3 s after it turned one away
    And "e1" got neither reports nor orders between 0.5 s and 3 s after it
