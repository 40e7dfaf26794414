Feature: Every waiting request is served or refused in time

  @promise @promise-03 @promise-09
  Scenario: Engines hang
    Given a request fleet of 2 entries
    And the request fleet runs
    When both engines hang
    And 24 requests wait with deadlines from 500 to 3000 ms
    Then each waiting request ended by its deadline, truthfully
    And none that was refused as not run reached an engine

  @promise @promise-03 @promise-09
  Scenario: Engines are paused with requests in their sockets
    Given a request fleet of 2 entries
    And the request fleet runs
    When both engines are paused
    And 24 requests wait with deadlines from 500 to 3000 ms
    Then each waiting request ended by its deadline, truthfully

  @promise @promise-03 @promise-09
  Scenario Outline: <what> is <how> while requests wait in the queue
    Given a request fleet of 3 entries whose engines bear 1 request
    And the request fleet runs
    When 40 requests wait while <what> is <how>
    Then each waiting request ended by its deadline, truthfully
    And some of them were answered

    Examples:
      | what                | how    |
      | another entry       | killed |
      | another entry       | paused |
      | another coordinator | killed |
      | an engine           | paused |

  Scenario Outline: A request that waits outlives its engine's owner, <how>
    Given a request fleet of 2 entries
    And the request fleet runs
    When the other entry is <how> and a request waits for up to 20 s
    Then it is answered

    Examples:
      | how    |
      | killed |
      | paused |

  @promise @promise-03
  Scenario: An entry loses its coordinator
    Given a request fleet of 2 entries
    And the request fleet runs
    When the coordinator of an entry is killed amid its streams
    Then each caller got the whole answer to its own request
    And a new request there was refused as not run within 2 s
    When the coordinator is started again
    Then requests are answered there again
