Feature: A request runs only for the customer whose key came with it

  @promise @promise-04
  Scenario: A key is withdrawn from a caller that stays connected
    Given a scene of 4 entries
    And the customer "frost" with the keys "old" and "new"
    And the scene runs
    When calls with the key "old" go to every entry on kept connections
    Then each of these calls is answered
    When the key "old" is withdrawn
    Then within 5 s calls with the key "old" are refused as not run
    And calls with the key "new" are answered
    And no endpoint and no log has seen a key

  @promise @promise-04
  Scenario: A key is withdrawn while an entry cannot reach the platform
    Given a scene of 4 entries behind the proxy
    And the customer "frost" with the keys "old" and "new"
    And the scene runs
    When the link from "e2" to the platform is cut
    And the key "old" is withdrawn
    Then within 5 s calls with the key "old" are refused as not run
    And calls with the key "new" are answered

  @promise @promise-04
  Scenario: A key is withdrawn while an entry is cut off from all
    Given a scene of 4 entries behind the proxy
    And the customer "frost" with the keys "old" and "new"
    And the scene runs
    When entry "e2" is cut off from the platform and its peers
    And the key "old" is withdrawn
    Then within 6 s calls with the key "old" are refused as not run
    And calls with the key "new" are answered at the other entries
    And "e2" refuses the key "new" as not run
    When entry "e2" is joined again
    Then within 10 s calls with the key "new" are answered everywhere

  @promise @promise-04
  Scenario: A key is withdrawn while its request waits
    Given a scene of 2 entries
    And the customer "frost" with the keys "old" and "new"
    And the scene runs
    And loads take 4 s
    When a chat with the key "old" waits for a load
    And the key "old" is withdrawn
    Then the waiting chat is refused as not run
    And no engine ran a chat

  @promise @promise-04
  Scenario: A key opens nothing of another customer, and none is needed on open routes
    Given a scene of 2 entries
    And the customer "frost" with the keys "old" and "new"
    And the customer "kokos" with the keys "kk" and "kl"
    And the scene runs
    When calls with the key "kk" go to every entry on kept connections
    Then the calls count for "kokos" only
    And a call with a wrong secret of "kk" is refused as not run
    And a call without a key to an open route is answered
    And a call without a key to another route is refused as not run
