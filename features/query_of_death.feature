Feature: A query of death crashes one engine after the other

  Background:
    Given a store, the workers "e1 e2" with the model "m0" and "p1 p2"
    And the entries "one" and "two"
    And a prompt section that crashes each engine for 0.7 s

  # Guards against the crashes of incident 2026-12-query-of-death.
  Scenario: Retries and new requests carry the section to every engine
    When callers send 3 requests a second with the section for 14 s
    Then at most 3 of them reach engines later than 3 s after the fifth crash
    And sound requests of the same caller and first section are answered

  Scenario: An entry starts while a section is quarantined
    When callers send 3 requests a second with the section for 3 s
    And the entry "three" starts
    Then requests with the section are refused at "three" before they run
    And its log leads from the refused request to the crashes
