Feature: The HTTP server of gateways and entries

  Scenario: One connection fails while another is open
    Given an HTTP server and a connection to it that is kept
    When another connection fails with an error that nothing handles
    Then the kept connection to the server is answered
