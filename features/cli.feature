Feature: Operators steer the fleet by one text

  Scenario: Of two operators who race, exactly one wins
    Given the platform alone, with an accepted text
    When two operators apply different texts made from version 1 at once
    Then one of them wins with version 2
    And the other exits with 3 and is told by whom version 2 is
    And the history has the versions 2, 1

  Scenario: Many operators race without naming a version
    Given the platform alone, with an accepted text
    And each reply of the platform takes 50 ms
    When 6 operators each take one of 6 zones out at once
    Then every operator who exits with 0 finds its zone out
    And the others exit with 3

  Scenario: A text made from an older version is not applied
    Given the platform alone, with an accepted text
    When the operator runs "zone out zone-1"
    And the operator runs "apply FILE --base 1"
    Then it exits with 3 and says "version 2 by"
    And zone "zone-1" is out in the accepted text

  Scenario Outline: A reply is lost after the write took effect
    Given the platform alone, with an accepted text
    When the platform loses the replies to <count> <service> writes
    And the operator runs "zone out zone-1"
    Then it exits with 0 and says "version 2 is accepted"
    And zone "zone-1" is out in the accepted text
    And the history has the versions 2, 1

    Examples:
      | count | service |
      | 1     | table   |
      | 2     | table   |
      | 4     | table   |
      | 1     | objects |

  Scenario: A write takes effect long after its caller gave up
    Given the platform alone, with an accepted text
    When the platform takes 1 table write 3 s late
    And the operator runs "zone out zone-1"
    Then it exits with 0 and says "version 2 is accepted"
    And the history has the versions 2, 1

  Scenario Outline: The platform is away
    Given the platform alone, with an accepted text
    When the platform's <service> service is to <mode>
    And the operator runs "zone out zone-1 --timeout 1"
    Then it exits with 4 and says "<message>"
    When the platform is whole again
    Then the history has the versions 1

    Examples:
      | service | mode   | message             |
      | table   | refuse | nothing was changed |
      | table   | hang   | nothing was changed |
      | objects | refuse | nothing was changed |

  Scenario: A text with faults changes nothing
    Given the platform alone, with an accepted text
    When the operator runs "apply FAULTY"
    Then it exits with 1 and says "line 1: zones"
    And the history has the versions 1

  Scenario: The number of partitions is fixed
    Given the platform alone, with an accepted text
    When the operator runs "apply REPARTITIONED"
    Then it exits with 1 and says "partitions: is fixed at 64"

  Scenario: A key is issued and withdrawn, and comments stay
    Given the platform alone, with an accepted text
    When the operator runs "key issue frost --json"
    Then the printed key fits the hash in the accepted text
    And the accepted text still has its comments
    When the issued key is withdrawn
    Then the accepted text declares what it did at first
    And no output but that of "key issue" had the key

  Scenario: An edit that changes nothing makes no version
    Given the platform alone, with an accepted text
    When the operator runs "zone in zone-1"
    Then it exits with 0 and says "version 1 is accepted"
    And the history has the versions 1

  Scenario Outline: What is not there is told
    Given the platform alone, with an accepted text
    When the operator runs "<command>"
    Then it exits with <code> and says "<message>"

    Examples:
      | command                 | code | message                  |
      | key issue nobody        | 1    | no customer 'nobody'     |
      | key issue frost --name A | 1   | lower-case letters       |
      | key withdraw nothing    | 1    | no key 'nothing'         |
      | zone out nowhere        | 1    | no zone 'nowhere'        |
      | apply /no/such          | 1    | cannot be read           |
      | show --number 9         | 1    | has no version 9         |
      | show --number 1         | 0    | # kept comment           |
      | diff CHANGED            | 0    | ~ customers.frost.rate   |
      | status                  | 0    | accepted: version 1      |
      | explain --customer a --model b | 4 | no entry answers      |
      | explain                 | 2    | requires an argument     |
      | bogus                   | 2    | Unknown command          |

  Scenario: An operator without settings is told how to give them
    Given the platform alone, with an accepted text
    When the operator runs "status" without settings
    Then it exits with 2 and says "DOGWOODWHEEL_SETTINGS"

  Scenario: A version is in force at every entry, and named where it is not
    Given two entries behind the proxy, and an accepted text
    When the operator runs "zone out zone-1 --json"
    Then it exits with 0 and says ""in_force": true"
    And status shows version 2 at both entries
    When entry "e2" hears neither the platform nor its peer
    And the operator runs "zone in zone-1 --timeout 4"
    Then it exits with 5 and says "NOT in force at e2: has version 2"
    And the operator runs "status" and it exits with 5
    When entry "e2" hears all again
    And the operator runs "apply CURRENT"
    Then it exits with 0 and says "in force at 2 entries"

  Scenario: An entry says where a request would go
    Given two entries behind the proxy, and an accepted text
    When the operator runs "explain --customer frost --model small --json"
    Then it exits with 0 and says "decider"
