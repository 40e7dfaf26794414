Feature: An odd row costs that row only

  Scenario: Registrations with an odd field are refused
    Then each registration with an odd field is refused as malformed

  Scenario: Registrations that are no object are refused
    Then each row of odd bytes is refused as a malformed registration

  Scenario Outline: Registrations with an odd key are refused
    Then a sound registration with the key "<key>" is refused as malformed

    Examples:
      | key          |
      | a\r\nb       |
      | \ud800       |
      | two words    |
      | é            |
      |              |

  Scenario: Sound registrations are decoded
    Then a registration with whole numbers as floats is decoded
    And a registration without its optional fields is decoded
    And a registration whose optional fields are null is decoded

  Scenario: Random registrations
    Then 300 random registrations are decoded or refused as malformed

  Scenario: A scan with odd rows among many
    When 30 odd registrations stand among 5 sound ones in a scan
    Then the 5 sound endpoints are known, and 20 lines are logged

  Scenario: A writer changes its odd row all the time
    When a scan each 0.7 s for 170 s has an odd row of another version
    Then at most 63 lines are logged, and what was not logged is counted
    And no more rows are kept than the scan had

  Scenario: An odd row that stays is decoded once
    When 20 scans have the same odd row
    Then it is decoded once and logged once

  Scenario: A row is written again under the version that it had
    When a row changes and keeps its version
    Then the endpoint is as the row says

  Scenario: Odd reports of an engine
    Then each odd report is an error of that endpoint
    And 300 random reports are decoded or an error of that endpoint
    And a sound report is decoded

  Scenario: Odd configurations
    Then each odd configuration is refused as malformed
    And 300 random configurations are decoded or refused as malformed
    And a sound configuration is decoded

  Scenario: Odd datagrams
    Then each odd datagram is refused as malformed or its fields are
    And a bomb of 50 MB is refused within 8 MB of memory
    And 300 random datagrams are processed

  Scenario: Odd rows of peers
    When odd rows stand among those of two peers
    Then both peers are contacted, and no other address
    And one line tells of the odd rows, and one more after a change

  Scenario: Odd headers of callers
    Then each odd header of a caller is refused or counts as absent
    And 300 random headers of callers are refused or within their bounds

  Scenario: Odd numbers of endpoints
    Then event ids and loads of odd digits count as absent

  Scenario: Odd rows of the coordinators' tables
    When odd rows stand in a table beside a sound one
    Then a scan finds the sound one, and a read of each other is refused

  Scenario Outline: An odd setting is named
    Then the settings with "<field>" as "<value>" are refused, naming it

    Examples:
      | field             | value        |
      | portRange         | 70000,70010  |
      | portRange         | ²,9          |
      | listen.front      | 127.0.0.1:0  |
      | platform.address  | store        |
      | bounds.drainMs    | nan          |
      | bounds.graceS     | 1e400        |
      | bounds.leaseMs    | -1           |
