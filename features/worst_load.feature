Feature: Which requests are served when more models are asked for than fit

  Days are replayed against the leader's decisions, without sockets: few busy
  models that change, and many that are rarely asked for.

  Scenario Outline: The busy models change while rare ones are asked for
    When a day of the <fleet> fleet is replayed
    Then at most 1 and 10 in 100 of the models asked for throughout are never served
    And at least 0.57 of the worth is earned

    Examples:
      | fleet |
      | small |
      | large |

  Scenario: Engines are lost, and the requests for busy models double
    When a day of the large fleet is replayed, in which 9 engines are lost and the requests for busy models double
    Then at most 1 and 10 in 100 of the models asked for throughout are never served
    And at least 0.57 of the worth is earned
