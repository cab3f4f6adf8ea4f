Feature: What an owner that is lost leaves behind

  Scenario Outline: No target is overrun where <case>
    When a history is played where <case>
    Then the target was never given more than its slots

    Examples:
      | case                                             |
      | an older poll arrives late                       |
      | a new leader gets a poll made for an earlier one |
      | a new leader knows no promise                    |
      | the answer to a shorter promise is lost          |
      | a promise falls while work goes on               |
      | a longer promise is not confirmed                |
      | a connection opens late                          |
      | the next owner is lost too                       |

  Scenario: No history of promises and lost owners overruns a target
    When random histories of promises, polls, leaders and owners are tried
    Then the target was never given more than its slots

  Scenario: The targets of a lost owner are free right after its lease
    Given a leader and an entry that owns a target
    When requests of 2000 ms run and the entry is lost
    Then no slot of the target counts as taken
    When requests of 9000 ms run and the entry is lost
    Then the slots of the target count as taken for 6000 to 8500 ms

  @fixture.ar_gwenn_skouarn
  Scenario: Six of 17 entries are lost at once under load
    When 6 entries are killed at once under load
    Then every target that they owned got work again within 10 s
    And no backend server ran more than it can bear
    And no booking ran twice
    And all but few requests were answered once all targets got work
