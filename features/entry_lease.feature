Feature: One entry gives orders at a time, replayed on a clock of its own

  Scenario: The holder is frozen and thaws
    Given 3 entries that share a store
    When the holder is frozen for 5 s
    Then another entry holds the lease
    And at no moment two entries might order
    And tokens rose with each holder

  Scenario: The holder is cut from the store
    Given 3 entries that share a store
    When the holder is cut from the store for 6 s
    Then another entry orders within 3 s
    And at no moment two entries might order

  Scenario: The store is away for all
    Given 3 entries that share a store
    When the store is away for all for 6 s
    Then the same entry might order all the time

  Scenario: The store is away for all and the holder is frozen meanwhile
    Given 3 entries that share a store
    When the store is away for all for 8 s and the holder is frozen for 4 s
    Then at no moment two entries might order

  Scenario: The store is away and comes back for an entry that was frozen
    Given 4 entries that share a store
    When the store is away for 4 s, and then answers one that was frozen 1.2 s
    Then at no moment two entries might order

  Scenario: Answers of the store are lost
    Given 3 entries that share a store
    When the store loses half of its answers for 8 s
    Then at no moment two entries might order
    And some entry might order most of the time

  Scenario: Random freezes and cuts
    Given 4 entries that share a store
    When entries are frozen and cut at random for 60 s, with 12 seeds
    Then at no moment two entries might order
    And tokens rose with each holder

  Scenario: A holder takes the lease back
    Given 2 entries that share a store
    When the holder is frozen for 3 s and then the next one is
    Then orders of the first one begin again 3 s later at the soonest

  Scenario: The VMs have links of unlike width
    Given 4 entries that share a store
    When one of them has a wide link, and the holder is frozen now and then
    Then whoever has the wide link holds the lease at first
    And at no moment two entries might order

  Scenario: The store is restored from a copy, and the holder goes on
    Given 3 entries that share a store
    When the store is away for 2 s and is restored from 9 s ago
    Then at no moment two entries might order
    And the same entry might order all the time

  Scenario: The store is restored from a copy that another holder wrote
    Given 3 entries that share a store
    When the holder is cut off for 3 s and the store then restored
    Then at no moment two entries might order
    And tokens rose with each holder
    And no holder orders again within 3 s of another one's orders

  Scenario: The store is restored from a copy older than the first lease
    Given 3 entries that share a store
    When the lease's first row is lost as the store is restored
    Then at no moment two entries might order
    And tokens rose with each holder

  Scenario: Random freezes, cuts and restores
    Given 4 entries that share a store
    When entries are frozen and cut and the store is restored, with 20 seeds
    Then at no moment two entries might order
    And tokens rose with each holder
    And no holder orders again within 3 s of another one's orders

  Scenario: Another writer leaves an odd row as the lease
    Given 3 entries that share a store
    When the lease's row is replaced by odd bytes, one after the other
    Then at no moment two entries might order
    And tokens rose with each holder
    And some entry might order at the end of each play
