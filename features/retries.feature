@fixture.small_relayed
Feature: Retries recover from failures and never cause a retry storm

  Background:
    Given backend servers that take 5 ms

  Scenario: Lookups are retried on another target
    When one dossier server truncates its answers
    And 30 lookups are sent one after the other
    Then every lookup was answered
    And no lookup ran twice on one target

  Scenario: An entry whose only target fails uses targets of other entries
    Given 50 lookups at the entry that owns one dossier server
    When that server truncates its answers
    And 60 lookups are sent to the entry that owns it
    Then every lookup was answered
    And that server ran at most 20 of them

  Scenario: Retries stay within their budget
    When every dossier server truncates its answers
    And 200 lookups are sent
    # 200, a fifth more for retries, and a burst of 10 for each of 3 entries.
    Then the dossier servers ran at most 270 lookups
    And the dossier servers ran at least 201 lookups

  Scenario: Calls caused by other calls are not retried
    When every dossier server truncates its answers
    And 50 lookups are sent at depth 13
    Then the dossier servers ran at most 50 lookups

  Scenario: Bookings are never retried once they may have run
    When every creneau server truncates its answers
    And 30 bookings are sent
    Then the creneau servers ran at most 30 bookings
