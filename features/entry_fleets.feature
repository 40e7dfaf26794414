Feature: Entries of a large fleet share what they read

  Scenario: One entry a zone reads the endpoints
    When 20 entries of 2 zones follow the endpoints for 10 s
    Then the fleet reads them at most 2.5 times in 1.05 s
    And no entry ever acts on endpoints that are older than 1.9 s

  Scenario: The entry that reads is frozen
    When 20 entries of 2 zones follow the endpoints for 10 s, and whoever read last is frozen
    Then no entry ever acts on endpoints that are older than 1.9 s

  Scenario: One datagram in ten is lost
    When 20 entries of 2 zones follow the endpoints for 10 s, and datagrams are lost
    Then no entry ever acts on endpoints that are older than 1.9 s

  Scenario: The entries of a small fleet each read for themselves
    When 8 entries of 2 zones follow the endpoints for 10 s
    Then each entry has read them itself, every 1.1 s at least

  Scenario: A connection to the store goes silent at one entry
    When 20 entries of 2 zones follow the operator, and the calls of one hang
    And the operator evacuates a zone
    Then that entry knows it within 3 s

  Scenario: A request waits in a large fleet
    When an entry of 20 tells that a request waits
    Then only the entry that leads is told before the next beat

  Scenario: A suspended entry wakes up and tells what it read before
    When an entry hears that an endpoint has left, and then an older read
    Then it takes the endpoint for gone

  Scenario: Heartbeats of many entries arrive over narrow links
    When 40 entries of 4 zones follow the endpoints for 10 s, over links that queue 5000 bytes
    Then no entry takes a live one for silent
