Feature: Odd replies of the platform's store cost a call, or a row

  Scenario: Replies that are none
    Then each odd reply of the store is an error of the platform

  Scenario: Replies with odd rows
    Then each odd row of a reply is left out, and the sound one is returned
