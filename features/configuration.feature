Feature: An accepted configuration is in force everywhere and never reverts

  @promise @promise-13
  Scenario: It is applied while one entry is cut off from the platform
    Given a scene of 4 entries behind the proxy
    And the scene runs
    When the link from "e3" to the platform is cut
    And a new version is accepted
    Then it is in force at each entry within 5 s
    And no entry ever showed an older version after a newer one

  @promise @promise-13
  Scenario: Reads of the table return older copies
    Given a scene of 4 entries
    And the scene runs
    When a new version is accepted
    And the next 12 reads of the configuration return older copies
    Then it is in force at each entry within 5 s
    When the next 40 reads of the configuration return older copies
    Then no entry forgets the newest version while they do
    And no entry ever showed an older version after a newer one

  @promise @promise-13
  Scenario: An entry restarts in an outage and asks its peers
    Given a scene of 4 entries
    And the scene runs
    When a new version is accepted
    Then it is in force at each entry within 5 s
    When the platform falls silent
    And the coordinator of "e2" is killed and started again
    Then "e2" has the newest version within 10 s
    And no entry ever showed an older version after a newer one

  @promise @promise-13
  Scenario: Versions follow each other fast while an entry is paused
    Given a scene of 4 entries
    And the scene runs
    When entry "e1" is paused
    And 5 new versions are accepted
    And entry "e1" goes on
    Then it is in force at each entry within 5 s
    And no entry ever showed an older version after a newer one
