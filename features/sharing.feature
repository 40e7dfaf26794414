Feature: Customers share the fleet by their rates

  Scenario: No window holds more than rate times time and burst
    Given a model fleet that moves, loses, takes over, lends and settles
    When 200 runs of 50 steps are drawn
    Then no window had more tokens than rate times time and burst

  Scenario: Tokens borrowed ahead outlive their lender and make none
    Given a model fleet that moves, loses, takes over, lends and settles
    When an entry borrows ahead, its lender dies and the share refills
    Then no window had more tokens than rate times time and burst

  Scenario: A loan of a borrower that died counts as spent
    Given a model fleet that moves, loses, takes over, lends and settles
    When an entry spends a loan and all it has, and dies before it tells
    Then no window had more tokens than rate times time and burst

  Scenario: Tokens handed over late count what was refilled meanwhile
    Given a model fleet that moves, loses, takes over, lends and settles
    When a share is handed over and its tokens come 100 s later
    Then no window had more tokens than rate times time and burst

  Scenario: The fair queue keeps its promises whatever is pushed
    Given a fair queue
    When 200 random orders of pushes, removals and pops are drawn
    Then every item came once and equal customers got equal tokens

  Scenario: A short question passes a long audit
    Given a fair queue
    When customer "husk" pushes 50 audits of 4000 tokens at rank 9
    And customer "husk" pushes a question of 50 tokens at rank 1
    And customer "frost" pushes a question of 50 tokens at rank 1
    Then both questions are among the first 3 popped

  Scenario: A slot can be kept for short questions
    Given a fair queue
    When customer "husk" pushes 50 audits of 4000 tokens at rank 9
    Then nothing of rank 1 is popped and 50 still wait
    When customer "frost" pushes a question of 50 tokens at rank 1
    Then the question of "frost" is popped at rank 1

  Scenario: A key opens for its customer only until it is withdrawn
    Given an issued key of customer "husk"
    Then its text finds "husk"
    And a wrong secret, another name and another scheme find nobody
    And neither text nor secret is in the declaration
    When the key is withdrawn
    Then its text finds nobody

  Scenario: All calls at one entry may use the whole burst
    Given 8 entries and customer "husk" with rate 100 and burst 800
    When entry 1 is asked for 790 tokens in calls of 10
    Then 790 tokens are admitted
    When entry 1 is asked for 200 tokens in calls of 200
    Then it is refused as "rate_limited" with status 429
    And after the time that it names the same call is admitted

  Scenario: One call may be as large as the burst, and no larger
    Given 8 entries and customer "husk" with rate 100 and burst 800
    When entry 1 is asked for 800 tokens in calls of 800
    Then 800 tokens are admitted
    When entry 1 is asked for 801 tokens in calls of 801
    Then it is refused as "larger_than_burst" with status 413

  Scenario: Steady calls at one entry need no round trip
    Given 8 entries and customer "husk" with rate 100 and burst 800
    When entry 1 is asked for 5 tokens every 0.1 s for 20 s
    Then 1000 tokens are admitted
    And 9 of 10 calls of the last half waited for nobody

  Scenario: A lost reply costs some burst for a while
    Given 8 entries and customer "husk" with rate 100 and burst 800
    When replies to Borrow are lost while entry 1 is asked for 300 tokens
    And 10 s pass
    Then no entry counts a loan
    And the fleet holds 800 tokens

  Scenario: A loan of a paused borrower counts until it is proved gone
    Given 8 entries and customer "husk" with rate 100 and burst 800
    When entry 1 borrows 60 tokens from entry 2 and pauses
    And 100 s pass
    Then entry 2 counts 60 tokens as lent
    When entry 1 is proved gone
    And 10 s pass
    Then no entry counts a loan

  Scenario: A share that passes on takes its level or starts empty
    Given 8 entries and customer "husk" with rate 100 and burst 800
    When entry 1 hands its partitions over to entry 2
    Then entry 2 has 200 tokens of "husk"
    When entry 3 is proved gone and entry 4 takes over
    Then entry 4 has 100 tokens of "husk"

  Scenario: A slow process refuses in time where its clock runs on
    Given 8 entries and customer "husk" with rate 100 and burst 800
    When the clock of entry 1 runs on by 0.13 s whenever it is read
    And entry 1 is asked for 400 tokens in calls of 400
    Then it is refused as "rate_limited" with status 429
    When 10 s pass
    Then no entry counts a loan

  Scenario: An entry that reaches no share says so
    Given 8 entries and customer "husk" with rate 100 and burst 800
    When entry 1 restarts and all others are cut off
    And entry 1 is asked for 10 tokens in calls of 10
    Then it is refused as "no_share" with status 503

  Scenario: A charge is kept for a retry and settled once
    Given 8 entries and customer "husk" with rate 100 and burst 800
    When entry 1 is asked for 50 tokens in calls of 50
    And the same request is tried again
    Then 50 tokens are admitted
    When it is settled twice at 20 tokens
    Then the fleet holds 780 tokens
