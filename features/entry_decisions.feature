Feature: What an entry decides alone, replayed without sockets

  Scenario: Registrations that lapse while the store is away
    Given 3 endpoints that were seen 5 s ago
    When a scan after the outage lacks 2 of them
    Then all 3 still receive requests for 2 s
    And those that do not register again are gone after 3 s

  Scenario: A registration that is taken away with the store in order
    Given 3 endpoints that were seen 1 s ago
    When a scan lacks 1 of them
    Then only 2 receive requests

  Scenario: One customer sends eight times its rate through all entries
    Given 7 entries that share a rate of 10000 and a burst of 20000
    When a customer asks for 80000 a second at all of them for 20 s
    Then no window of 8 s has more than the rate, the burst and a tenth
    And in the long run no less than 0.9 of the rate is used

  Scenario: Entries on both sides of a cut
    Given 7 entries that share a rate of 10000 and a burst of 20000
    And 3 of them are cut off from the others from 5 s to 12 s
    When a customer asks for 80000 a second at all of them for 20 s
    Then no window of 8 s has more than the rate, the burst and a tenth

  Scenario: One customer sends three times its rate through a large fleet
    Given 80 entries that share a rate of 27000 and a burst of 54000
    And their beats are 1 s apart and a tolerance of 110000
    When a customer asks for 80000 a second at all of them for 30 s, 10000 at a time
    Then no window of 8 s has more than the rate, the burst, a tenth and the tolerance
    And in the long run no less than 0.9 of the rate is used

  Scenario: All requests fail at every entry
    Given a retry budget of 0.2 and a slack of 50 in 10 s
    When 7 entries send 20 requests a second each and each one fails
    Then the retries of any 10 s stay within the budget

  Scenario: An endpoint that fails half of its requests
    When an endpoint fails every second of 8 requests
    Then it is avoided for at least 1 s
    And it is tried again within 7 s

  Scenario: An endpoint that fails one request in thirty
    When an endpoint fails 1 of 30 requests
    Then it is not avoided

  Scenario: An endpoint that fails callers of one zone only
    When peers of another zone tell of 2 failures and 40 answers
    Then it is not avoided

  Scenario: An endpoint comes back cold under the traffic of all entries
    Given 7 entries and a cold endpoint that bears 6.5 requests a second
    When each entry sends it a request whenever it may for 10 s
    Then no second has more than 6 requests

  Scenario: Many entries and one cold endpoint
    Given 80 entries and a cold endpoint that bears 6.5 requests a second
    When each entry sends it a request whenever it may for 10 s
    Then no second has more than 6 requests

  Scenario: Equal prompts meet the same engine until it is loaded
    Given 3 engines that hold a model
    When 20 requests with a common beginning are placed on idle engines
    Then one engine gets all of them
    When the engine that keeps the beginning has 12 requests in flight
    Then another engine gets the next one

  Scenario: An engine that answers errors at once seems idle
    Given 3 engines that hold a model
    When the idle one failed most of its requests
    Then another engine gets the next one

  Scenario: A stream in which an event is missing, doubled or cut
    Then events pass in order however they are cut into parts
    And an event that is missing or doubled ends the stream
    And half an event is never passed on
    And a comment passes, and an event without a number ends the stream

  Scenario: No endpoint is left for a request that may have run
    Given a request whose first attempt may have run
    When no endpoint can take its next attempt
    Then the answer is the failure of the first, not "not run"

  Scenario: No endpoint is left for a request that has not run
    Given a request whose first attempt did not run
    When no endpoint can take its next attempt
    Then the answer says that it has not run

  Scenario: An endpoint is forgotten while a connection to it is chosen
    Given 4 unused connections to an endpoint that has sent surplus bytes
    When a request chooses one while the endpoint is forgotten
    Then the request gets a new connection, and the others are closed
