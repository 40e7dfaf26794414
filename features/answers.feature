Feature: Every caller receives the whole answer to its own request
  The answer to each request is known, so a crossed or joined one shows.

  @promise @promise-08
  Scenario: Replies fail in every way
    Given a request fleet of 2 entries
    And the request fleet runs
    When replies fail in each of these ways, whole and streamed
      | fault        |
      | late         |
      | crossed      |
      | short        |
      | duplicated   |
      | broken       |
      | no_done      |
      | error        |
      | close_before |
      | close_after  |
    Then each got its whole answer, or a stream's truthful end
    And no answer was cut but after its first token

  @promise @promise-08
  Scenario: A stream that breaks is resumed at another engine
    Given a request fleet of 2 entries
    And the request fleet runs
    When streams fail once in each of these ways
      | fault       |
      | broken      |
      | short       |
      | no_done     |
      | close_after |
    Then each caller got the whole answer to its own request
    And at least 4 streams were resumed

  @promise @promise-08
  Scenario: Replies of all kinds of faults meet many requests at once
    Given a request fleet of 2 entries
    And the request fleet runs
    When 60 requests at once meet all of these faults
      | fault        |
      | crossed      |
      | duplicated   |
      | late         |
      | close_before |
      | crossed      |
      | short        |
      | close_after  |
      | duplicated   |
    Then each got its whole answer, or a stream's truthful end

  @promise @promise-08
  Scenario: Engines close kept connections just as they are used
    Given a request fleet of 1 entries
    And the request fleet runs
    When engines close kept connections just as they are used
    Then each caller got the whole answer to its own request

  Scenario: A caller that goes away cancels its work
    Given a request fleet of 1 entries
    And the request fleet runs
    When a caller goes away from a long answer
    Then the engine's work on it is cancelled

  Scenario: What a caller sends is bounded
    Given a request fleet of 1 entries
    And the request fleet runs
    Then these requests are refused, each as not run
      | sent                     | status | code                   |
      | a body of 9000000 bytes  | 413    | body_too_large         |
      | a header of 40000 bytes  | 431    | headers_too_large      |
      | a body that is no JSON   | 400    | bad_body               |
      | an unknown model         | 404    | model_not_found        |
      | an unknown path          | 404    | not_found              |
      | an unknown service       | 404    | service_not_found      |
      | a path with dot segments | 400    | path_ambiguous         |
      | an unknown key           | 401    | invalid_api_key        |
      | no key                   | 401    | invalid_api_key        |
      | a key in the path        | 400    | key_misplaced          |
      | a malformed deadline     | 400    | bad_deadline           |
      | an unknown priority      | 400    | bad_priority           |
