Feature: The platform's store is restored from a copy, on a test's clock

  Scenario Outline: An endpoint drains before the store is restored
    Given <count> entries that follow the store
    When an endpoint drains, and the store is restored from 4 s before
    Then no entry uses that endpoint later than 2 s after it drained
    And the other endpoints are used all the time

    Examples:
      | count |
      | 1     |
      | 4     |

  Scenario: An endpoint drains after the store is restored
    Given 4 entries that follow the store
    When the store is restored from 12 s before, and an endpoint drains
    Then no entry uses that endpoint later than 2 s after it drained
    And the other endpoints are used all the time

  Scenario: An endpoint has left, and the copy lists it
    Given 3 entries that follow the store
    When an endpoint leaves, and the store is restored from 4 s before
    Then no entry uses that endpoint later than 2 s after it drained

  Scenario: An endpoint has left, and two copies list it
    Given 3 entries that follow the store
    When an endpoint leaves, and two restores in a row list it
    Then no entry uses that endpoint later than 2 s after it drained

  Scenario: An endpoint has left, a copy lists it, and the store goes away
    Given 3 entries that follow the store
    When an endpoint leaves, and the store goes away after it was restored
    Then no entry uses that endpoint later than 2 s after it drained

  Scenario: An endpoint has registered since the copy was made
    Given 3 entries that follow the store
    When an endpoint registers, and the store is restored from 4 s before
    Then all entries use that endpoint all the time

  Scenario: An endpoint has registered, and two copies lack it
    Given 3 entries that follow the store
    When an endpoint registers, and two restores in a row lose that
    Then all entries use that endpoint all the time

  Scenario: An endpoint that lapsed before is listed and does not write again
    Given 3 entries that follow the store
    When a silent endpoint is listed after the store is restored
    Then all entries use that endpoint within 6 s

  Scenario: The operator's versions are given out again
    Given 4 entries that follow the store
    When a configuration is confirmed, lost, and followed by a later one
    Then all entries have the later one within 1 s and never an older one

  # Guards against the stale configuration of incident 2026-12-kfez-hub-config.
  Scenario: An entry is cut off until the store's numbers are given out again
    Given 4 entries that follow the store
    When an entry is cut off until the restored store has passed its number
    Then all entries have the later one within 1 s and never an older one

  Scenario: The long polls of some entries go silent
    Given 4 entries that follow the store
    When long polls hang while the store is restored and configured
    Then all entries have the later one within 2 s and never an older one

  Scenario: An evacuation is lost
    Given 3 entries that follow the store
    When a zone is evacuated, and the store is restored from 4 s before
    Then the zone is evacuated at all entries until it is taken back

  Scenario: An evacuation is taken back while its row is lost
    Given 3 entries that follow the store
    When an evacuation that was lost is not written again
    Then the zone is in use again within 5 s

  Scenario: Replies from before arrive late
    Given 2 entries that follow the store
    When replies take 0.5 s while the store is restored from 4 s before
    Then no entry uses that endpoint later than 2 s after it drained

  Scenario: A peer of a large fleet passes on a scan from before
    Given 2 entries that follow the store
    When a peer passes on a scan from before the store was restored
    Then the scan is not applied

  Scenario: The store is restored twice
    Given 4 entries that follow the store
    When the store is restored twice, and an endpoint drains between
    Then no entry uses that endpoint later than 2 s after it drained
    And the other endpoints are used all the time
    And all entries have the later one within 1 s and never an older one

  Scenario: A peer names wrong eras and versions
    Given 2 entries that follow the store
    When a peer names the eras "nan", "-1", "8000" and "10000000"
    Then the entries follow the store as before
    And each entry calls the store less than 4 times a second

  Scenario: The store is asked no more often than before
    Given 4 entries that follow the store
    When the store is restored from 9 s before
    Then each entry calls the store less than 4 times a second

  Scenario: An entry starts as the store is restored
    Given 3 entries that follow the store
    When an entry starts as the store is restored
    Then it has the configuration and the endpoints of its peers within 2 s
    And it is registered for later entries

  Scenario: A commit expects a version that was given out again
    Given a row whose version is given out again in the restored store
    When an entry commits with the version of before
    Then the commit is refused, also if the entry learns of the restore by it
