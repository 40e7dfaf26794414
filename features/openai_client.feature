Feature: The published client library works unchanged

  Scenario: Answers, streams, models and errors
    Given a request fleet of 1 entries
    And the adapter "nelson" on the model "spec" of the request fleet
    And the request fleet runs
    When the client library is given the entry's address and a key
    Then it lists the models "spec" and "nelson"
    And it gets a whole answer of "spec"
    And it gets a streamed answer of "nelson" with its usage
    And it gets a completion of "spec"
    And an unknown model raises its NotFoundError
    And a wrong key raises its AuthenticationError
    And a priority that is not declared raises its BadRequestError
    And a deadline that cannot be met raises its InternalServerError

  Scenario: It fails over to the second address
    Given a request fleet of 2 entries
    And the request fleet runs
    When the first address of GET /v1/entries is killed
    Then the client library streams an answer from the second one
