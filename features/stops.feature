Feature: Every planned stop is a graceful shutdown that cuts no request

  @promise @promise-12
  Scenario: An entry is stopped under load
    Given a request fleet of 3 entries
    And the request fleet runs
    And 9 callers keep to the answers of GET /v1/entries
    And a long answer is under way at entry "e0"
    When all programs of entry "e0" are stopped by SIGTERM
    Then each of them ends with the exit code 0
    And no caller had a request cut or refused
    And the long answer came whole

  @promise @promise-12
  Scenario: Entries are stopped one after the other, and started again
    Given a request fleet of 3 entries
    And the request fleet runs
    And 6 callers keep to the answers of GET /v1/entries
    When all programs of each entry in turn are stopped and started again
    Then each of them ends with the exit code 0
    And no caller had a request cut or refused

  @promise @promise-12
  Scenario: A leaving entry is off the list at once
    Given a request fleet of 2 entries
    And the request fleet runs
    When all programs of entry "e0" begin to stop
    Then entry "e0" names itself no more
    And within 3 s no entry names entry "e0"
    And entry "e0" still serves, closing each connection
    And in the end it refuses as not run, then ends with the exit code 0
