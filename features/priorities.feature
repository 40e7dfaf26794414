Feature: Short questions do not wait behind long audits

  Scenario: Audits in the last class hold every slot but one
    Given a scene of 2 entries and 1 engines
    And the customer "frost" with the keys "k1" and "k2"
    And the scene runs
    And the engine is warm
    When 16 audits of 1500 tokens are sent in the class "batch"
    And 10 questions of 5 tokens follow in the class "normal" within 3 s
    Then each question is answered before any audit ends
    And each audit is answered whole

  Scenario: A question is not refused for the audits that wait behind it
    Given a scene of 2 entries and 1 engines
    And the customer "frost" with the keys "k1" and "k2"
    And the scene runs
    And the engine is warm
    When 60 audits of 1500 tokens are sent in the class "batch"
    And 14 of the audits have ended
    And 10 questions of 5 tokens follow in the class "normal" within 3 s
    Then each question is answered
