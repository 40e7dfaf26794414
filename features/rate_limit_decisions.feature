Feature: How entries share the limit of an endpoint, without sockets

  Scenario Outline: All entries have requests for an endpoint with a limit
    Given <entries> entries with heartbeats every <beat> s, <lost> of them lost
    When callers send <rate> requests a second, and the endpoint names <limit>
    Then from 3 s on no 4 s have more requests than the limit allows
    And at least 0.7 of what the limit allows is sent

    Examples:
      | entries | beat | lost | rate | limit |
      | 7       | 0.25 | 0    | 20   | 1     |
      | 7       | 0.25 | 0.3  | 20   | 1     |
      | 7       | 0.25 | 0    | 40   | 6.5   |
      | 7       | 0.25 | 0    | 5    | 0.2   |
      | 61      | 0.8  | 0.1  | 10   | 1     |
      | 300     | 3.75 | 0.1  | 10   | 1     |
      | 300     | 3.75 | 0.1  | 100  | 20    |

  Scenario: Entries are frozen and restarted
    Given 7 entries with heartbeats every 0.25 s, 0 of them lost
    When entries are frozen and restarted as an endpoint names 1
    Then from 3 s on no 4 s have more requests than the limit allows

  Scenario: A limit ends
    Given 7 entries with heartbeats every 0.25 s, 0 of them lost
    When an endpoint names 1 for 10 s and then none
    Then 4 s later no entry holds requests back

  Scenario: A limit that has ended is not taken from an older report
    Given 7 entries with heartbeats every 0.25 s, 0 of them lost
    When an endpoint names 1 for 10 s and then none
    Then 4 s later no entry holds requests back
    And each entry has begun to observe a limit once

  Scenario: A burst comes after no requests for some time
    Given 7 entries with heartbeats every 0.25 s, 0 of them lost
    When an endpoint names 1 for 10 s and is not asked for 12 s
    And callers then send 40 requests a second for 8 s
    Then from 3 s on no 4 s have more requests than the limit allows

  Scenario: An endpoint that has been idle no longer names a limit
    Given 7 entries with heartbeats every 0.25 s, 0 of them lost
    When an endpoint names 0 for 10 s and is not asked for 12 s
    And it names none when callers send 20 requests a second again
    Then 1 s later no entry holds requests back

  Scenario: An entry starts while a limited endpoint is idle
    Given 7 entries with heartbeats every 0.25 s, 0 of them lost
    When an endpoint names 1 for 10 s and is not asked for 12 s
    And entry 0 is restarted
    Then 1 s later entry 0 knows the limit

  Scenario: An entry starts after a limit has ended
    Given 3 entries with heartbeats every 0.25 s, 0 of them lost
    When entry 1 has an answer that names 1 at 5 s
    And entry 2 has an answer that names none at 6 s
    And entry 0 is restarted at 7 s
    Then at 8 s entry 0 knows no limit
