Feature: No peer's bytes take the memory of an entry

  # Each answer is bounded, but many at once took more memory than the platform
  # allows a process, which ends it with the requests of all callers.
  Scenario Outline: Many answers end just below the bound of one
    Given a store, the workers "e1 e2" with the model "m0" and "p1"
    And the entry "one"
    And <count> requests at each worker "<workers>" meet "<fault>"
    When <count> callers <ask>, and others <ask_others>
    Then the others all get 200
    And each of the <count> gets a refusal in time or a cut answer
    And the entry "one" uses less than 300 MB

    Examples:
      | workers | fault      | count | ask                 | ask_others          |
      | p1      | held_body  | 100   | post to "/orders/1" | ask for a stream    |
      | p1      | endless_body | 100 | post to "/orders/1" | ask for a stream    |
      | e1 e2   | held_event | 200   | ask for a stream    | post to "/orders/1" |

  Scenario: An answer of a sound worker stays whole beside these
    Given replies of 1000 kB that one endpoint has begun 80 times
    When a reply of 4000 kB comes from another endpoint
    Then it is whole, and replies of the first endpoint are broken off

  Scenario: Complete answers that callers do not read are kept
    Given replies of 1000 kB that one endpoint has ended 60 times
    When a reply of 8000 kB comes from another endpoint
    Then it is broken off, and none of the first endpoint's

  Scenario: Many callers send large bodies and stop before the end
    Given a store, the workers "e1 e2" with the model "m0" and "p1 p2"
    And bodies of 4000 kB are allowed
    And the entry "one"
    When 100 callers send 3900 of 4000 kB, and others post to "/orders/1"
    Then the others all get 200
    And each of the 100 has got 503 or waits
    And the entry "one" uses less than 300 MB

  Scenario: Callers send bodies in chunks of one byte
    Given a store, the workers "e1 e2" with the model "m0" and "p1 p2"
    And the entry "one"
    When 20 callers send bodies without end in chunks of 1 byte
    Then orders beside them are answered within 1000 ms

  Scenario: A body in small chunks arrives as it was sent
    Given a store, the workers "e1 e2" with the model "m0" and "p1 p2"
    And the entry "one"
    When a caller posts 3000 bytes in chunks of 1 byte
    Then a worker has got the same 3000 bytes
