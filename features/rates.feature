Feature: No customer gets more than its rate and burst over all VMs

  A call of the plain service counts one token, so the service's own
  history is the judge.

  @promise @promise-05
  Scenario Outline: A customer sends five times its rate, <where>
    Given a scene of 4 entries
    And the customer "frost" with 40 tokens a second and a burst of 60
    And the scene runs
    When "frost" sends 200 calls a second to <where> for 6 s
    Then over every window "frost" used at most its rate and burst
    And "frost" used at least 0.8 of what it may
    And every refusal said not run and when to come again

    Examples:
      | where         |
      | all entries   |
      | entry "e0"    |

  @promise @promise-05
  Scenario: A customer inside its rate calls one entry only
    Given a scene of 4 entries
    And the customer "frost" with 40 tokens a second and a burst of 60
    And the scene runs
    When "frost" sends 36 calls a second to entry "e0" for 8 s
    Then no call of "frost" is refused

  @promise @promise-05
  Scenario: Entries are killed, paused, cut off and restarted meanwhile
    Given a scene of 4 entries behind the proxy
    And the customer "frost" with 40 tokens a second and a burst of 60
    And the scene runs
    When "frost" begins to send 200 calls a second to all entries
    And entry "e1" is killed and started again
    And entry "e2" is paused for 6 s
    And entry "e3" is cut off from its peers for 3 s
    And "frost" ends
    Then over every window "frost" used at most its rate and burst

  @promise @promise-05
  Scenario: The platform is out for longer than a heartbeat may be overdue
    Given a scene of 4 entries
    And the customer "frost" with 40 tokens a second and a burst of 60
    And the scene runs
    When "frost" begins to send 200 calls a second to all entries
    And the platform is out for 8 s
    And entry "e1" is killed
    And the platform is back
    And entry "e1" is gone from the list of VMs
    And the others hold the shares of "e1"
    And "frost" ends
    Then over every window "frost" used at most its rate and burst
