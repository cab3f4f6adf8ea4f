Feature: Requests of a lost owner that may still run

  Scenario Outline: No target is overloaded when <case>
    When a history is replayed in which <case>
    Then the target never ran more requests than its slots

    Examples:
      | case                                             |
      | an older poll arrives late                       |
      | a new leader receives a poll for the former one  |
      | a new leader knows no promises                   |
      | the answer to a shorter promise is lost          |
      | a promise is shortened while requests run        |
      | a longer promise is not confirmed                |
      | a connection opens late                          |
      | the next owner is lost too                       |

  Scenario: No random history of promises and lost owners overloads a target
    When random histories of promises, polls, leaders and owners are tried
    Then the target never ran more requests than its slots

  Scenario: The targets of a lost owner are free right after its lease
    Given a leader and an entry that owns a target
    When requests of 2000 ms run and the entry is lost
    Then no slot of the target counts as occupied
    When requests of 9000 ms run and the entry is lost
    Then the slots of the target count as occupied for 6000 to 8500 ms

  @fixture.ar_gwenn_skouarn
  Scenario: Six of 17 entries are lost at once under load
    When 6 entries are killed at once under load
    Then every target that they owned received requests again within 10 s
    And no backend server ran more requests than its limit
    And no booking ran twice
    And at least 95 % were answered once all targets received requests
