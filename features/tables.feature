Feature: Tables and objects in the platform's store

  Background:
    Given tables in a store of the platform

  Scenario: A commit tells the version that its rows have
    When a row is written, and written again with that version
    Then each write tells a later version, and the row has the last one
    And a write with the first version is refused

  Scenario: A reply is lost, and the outcome is learnt
    When the store loses a reply and a row is written
    Then the row has the version that the write told

  Scenario: A row that another program wrote cannot be read
    When a table has a row of ours and rows that cannot be read
    Then a scan returns the row of ours
    And reading one of the others tells which it is

  Scenario: A row is deleted
    When a row is written and deleted
    Then it is absent, and can be written as new

  Scenario: An object that was changed is not returned
    When an object is stored and its bytes are changed
    Then reading it tells that it is damaged

  Scenario: The list of VMs has a state that is not known
    When the list of VMs names a live VM, a leaving one and a lost one
    Then the live and the leaving one are listed
