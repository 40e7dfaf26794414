Feature: Every partition has one holder, whatever becomes of writes

  @promise @promise-05
  Scenario: Replies to writes are lost while entries come and go
    Given a scene of 4 entries
    And the scene runs
    When replies to the next 30 writes are lost
    And entry "e1" is killed and started again
    And entry "e2" is stopped
    Then every partition stands in one row of a live entry
    And each entry acts on just what its row names

  @promise @promise-05
  Scenario: Writes take effect late while entries come and go
    Given a scene of 4 entries
    And the scene runs
    When the next 20 writes take effect 3 s late
    And entry "e2" is stopped
    Then every partition stands in one row of a live entry
    And each entry acts on just what its row names

  @promise @promise-05
  Scenario: A paused entry loses its endpoints but not its rate
    Given a scene of 4 entries
    And the scene runs
    When entry "e1" is paused
    Then within 15 s the others hold the endpoints of "e1"
    And the table still names the shares of "e1"
    When entry "e1" goes on
    Then every partition stands in one row of a live entry
    And each entry acts on just what its row names

  Scenario: A second VM takes the name of an entry
    Given a scene of 2 entries
    And the scene runs
    When another VM starts with the name "e1"
    Then it ends with an error that names the remedy
