Feature: No peer's bytes hold the event loop

  Background:
    Given a store, the workers "e1 e2" with the model "m0" and "p1 p2"

  Scenario: The log names what held the event loop
    When a task holds the event loop for 80 ms for the request "r1"
    Then one line tells of the request "r1" and of 80 ms or more
    And the metrics count one slow step

  # An endless event in chunks of 32 bytes was searched anew at each chunk,
