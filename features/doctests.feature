Feature: Examples and pages agree with the code

  Scenario: Every example in a docstring does what it says
    Then all doctests of the package pass

  Scenario: The page on the operators' text is the one that the code gives
    Then "docs/CONFIGURATION.md" is what the code writes

  Scenario: The settings shown to operators are read without a fault
    Then each settings file shown in "docs/OPERATORS.md" is read

  Scenario: The pages name every metric and exit code
    Then "docs/OPERATORS.md" names every metric and every exit code
