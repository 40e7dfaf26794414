Feature: All promises are kept under random failures

  The failures are drawn by a seed; scripts/chaos runs longer ones.

  @promise @chaos
  Scenario: A short run with a fixed seed
    When random failures with seed 4 go on for 30 s
    Then no promise was broken

  @chaos
  Scenario: A short run over entries that decide alone
    When random failures of entries with seed 1 go on for 15 s
    Then no promise was broken
