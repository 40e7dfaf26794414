Feature: An availability zone taken out receives no new work

  @promise @promise-07
  Scenario: A zone goes out while streams run, and comes back
    Given a scene of 4 entries and 4 engines
    And the customer "frost" with the keys "k1" and "k2"
    And a model for each engine
    And the scene runs
    And each engine streams for "k1"
    When zone "zone-a" is taken out
    Then 3 s later no work begins in zone "zone-a" while callers go on
    And the streams that ran came whole
    And the entries of "zone-a" are off the list
    When zone "zone-a" is taken in again
    Then the plain service of zone "zone-a" is called again within 10 s
    And no engine ever had more in flight than it bears
    And no call was refused although it could run

  @promise @promise-07
  Scenario: A zone goes out while an entry cannot reach the platform
    Given a scene of 4 entries and 4 engines behind the proxy
    And the customer "frost" with the keys "k1" and "k2"
    And a model for each engine
    And the scene runs
    When the link from "e1" to the platform is cut
    And zone "zone-a" is taken out
    Then 5 s later no work begins in zone "zone-a" while callers go on
