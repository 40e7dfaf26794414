Feature: The HTTP server of gateways and entries

  Scenario: One connection fails while another is open
    Given an HTTP server and a connection to it that is kept
    When another connection fails with an error that nothing handles
    Then the kept connection to the server is answered

  Scenario: The deadline passes between the head and the body of an answer
    When an answer is sent and its time ends with its head
    Then the caller has the whole answer

  Scenario: A silence ends an attempt as the first events of a stream are sent
    When the head of a stream is sent until the endpoint counts as silent
    Then the caller has the events "id: 1" and "id: 2"

  Scenario Outline: Requests meet the end of their idle connections
    When <rounds> times requests arrive as <end>
    Then each request that was passed on is answered

    Examples:
      | rounds | end                                 |
      | 10     | their connections are too long idle |
      | 30     | the server stops                    |
