Feature: What entries conclude from crashes of engines, without sockets

  Scenario Outline: Requests with a section that crashes engines
    Given <entries> entries that send heartbeats every <beat> s, <lost> of them lost
    And <engines> engines with <sound> sound requests a second
    When <poison> requests a second with the section come for <time> s
    Then at most 3 of them are sent later than 3 s after the fifth crash
    And fewer than 0.02 of the sound requests are refused
    And 5 s after the last crash no sound request is refused

    Examples:
      | entries | beat | lost | engines | sound | poison | time |
      | 7       | 0.25 | 0    | 9       | 5     | 0.2    | 60   |
      | 7       | 0.25 | 0.3  | 9       | 5     | 4      | 60   |
      | 61      | 0.8  | 0.1  | 45      | 60    | 4      | 40   |
      | 300     | 3.75 | 0.1  | 70      | 60    | 15     | 20   |

  Scenario: An entry is frozen as engines crash, and another one is restarted
    Given 7 entries that send heartbeats every 0.25 s, 0 of them lost
    And 9 engines with 5 sound requests a second
    And entry 0 is frozen from 1 s to 20 s, and entry 1 is restarted at 20 s
    When 2 requests a second with the section come for 60 s
    Then from 21 s on none of them is sent

  Scenario: The section is known to be sound before it begins to crash engines
    Given the section "a" with an answer at 1 s
    When it crashes engines at 2 s and at 3 s
    Then "a" is quarantined at 3.5 s

  Scenario: An answer proves a suspected section sound
    Given the section "a" with an answer at 1 s
    When it crashes engines at 2 s and at 3 s
    And an answer to the section "a" comes at 4 s
    Then nothing is quarantined at 4.5 s

  Scenario: Many engines crash at once for another reason
    When 20 engines crash at once, each with 8 requests in flight
    Then nothing is quarantined at 1.5 s

  Scenario: A frozen entry reads the heartbeats of some seconds at once
    When the section "a" crashes an engine at 2 s
    And all that a peer tells of it until 8 s is read at 8 s
    Then nothing is quarantined at 8.1 s

  Scenario: The clock of a suspended peer has stood still
    When the section "a" crashes an engine at 2 s
    And a peer whose clock is 5 s behind tells of it at 8 s
    Then nothing is quarantined at 8.1 s

  Scenario: A section that crashes engines again after its quarantine
    When the section "a" crashes engines at 2 s and at 3 s
    Then "a" is quarantined at 62 s
    And nothing is quarantined at 64 s
    When the section "a" crashes an engine at 65 s
    Then "a" is quarantined at 180 s
    And nothing is quarantined at 186 s

  Scenario: An entry starts late in a quarantine that follows others
    When the section "a" crashes engines at 2 s and at 3 s
    Then nothing is quarantined at 64 s
    When the section "a" crashes an engine at 65 s
    Then nothing is quarantined at 186 s
    When the section "a" crashes an engine at 190 s
    Then "a" is quarantined at 340 s
    When an entry starts and is told of it at 350 s
    Then "a" is quarantined at 425 s
    And nothing is quarantined at 431 s

  Scenario: Entries end a quarantine at the same time
    When the section "a" crashes engines at 2 s and at 3 s
    Then "a" is quarantined at 60 s
    When a peer whose clock is 10 s behind tells of it at 64 s
    Then nothing is quarantined at 64.1 s

  Scenario: Two sections that always come together, until one comes alone
    When the prompt "b/a" crashes engines at 2 s and at 3 s
    Then "a" is quarantined at 3.5 s
    When the prompt "b/c" crashes an engine at 4 s
    Then "b" is quarantined at 4.5 s
    And "a" is not quarantined at 4.5 s

  # The next ones guard against incident 2026-12-deadly-requests.
  Scenario Outline: One look-up that crashes endpoints
    Given <entries> entries that send heartbeats every <beat> s, <lost> of them lost
    And <endpoints> endpoints with <sound> sound look-ups a second
    When one look-up comes <rate> times a second for <time> s
    Then at most 3 of them are sent later than 3 s after the third
    And fewer than 0.02 of the sound requests are refused
    And 5 s after the last crash no sound request is refused

    Examples:
      | entries | beat | lost | endpoints | sound | rate | time |
      | 7       | 0.25 | 0    | 4         | 2     | 0.5  | 58   |
      | 7       | 0.25 | 0.3  | 4         | 20    | 4    | 58   |
      | 61      | 0.8  | 0.1  | 30        | 60    | 8    | 40   |
      | 300     | 3.75 | 0.1  | 70        | 60    | 30   | 20   |

  Scenario: A request crashes engines, and sound ones share its sections
    When the request "b/a/request:1" crashes engines at 2 s and at 3 s
    Then "request:1" is quarantined at 3.5 s
    And "a" is not quarantined at 3.5 s
    And "b" is not quarantined at 3.5 s

  Scenario: Requests that share no more than a section crash engines
    When the request "b/a/request:1" crashes engines at 2 s and at 3 s
    And the request "b/a/request:2" crashes an engine at 4 s
    Then "a" is quarantined at 4.5 s

  Scenario: A look-up without a prompt crashes endpoints before it begins
    When endpoints crash at 2 s and at 3 s while "request:1" runs
    Then "request:1" is quarantined at 3.5 s

  Scenario: A sound look-up runs beside a deadly one at two crashes
    When endpoints crash at 2 s and at 3 s while "request:1 request:2" run
    Then nothing is quarantined at 3.1 s
    When an answer to the request "request:2" comes at 3.2 s
    Then "request:1" is quarantined at 3.3 s
    And "request:2" is not quarantined at 3.3 s

  Scenario: The look-ups beside a deadly one are others at each crash
    When endpoints crash at 2 s and at 3 s while "request:1 request:2" run
    And endpoints crash at 4 s and at 5 s while "request:1 request:3" run
    Then "request:1" is quarantined at 5.5 s
    And "request:2" is not quarantined at 5.5 s
    And "request:3" is not quarantined at 5.5 s

  Scenario: Engines crash for another reason, each with one prompt waiting
    When endpoints crash at 2 s and at 3 s while "b/a/request:1" runs
    And endpoints crash at 4 s and at 4.5 s while "b/a/request:2" runs
    Then "a" is not quarantined at 5 s
    And "b" is not quarantined at 5 s

  Scenario: A popular look-up runs at endpoints that crash at the same time
    Given the request "request:1" with an answer at 1 s
    When endpoints crash at 2 s and at 2.01 s while "request:1" runs
    Then nothing is quarantined at 2.5 s

  Scenario: An answered look-up begins to crash endpoints
    Given the request "request:1" with an answer at 1 s
    When endpoints crash at 2 s and at 3 s while "request:1" runs
    And endpoints crash at 4 s and at 5 s while "request:1" runs
    Then "request:1" is quarantined at 5.5 s

  Scenario: A peer reports a request without parts
    When a peer reports a crash at 2 s while a request without parts ran
    Then nothing is quarantined at 2.5 s
