Feature: A planned stop of an entry aborts no request

  @fixture.small_short_keep
  Scenario: Each entry is restarted, one after another, under load
    Given 6 callers that use the addresses that entries return
    When each entry is stopped and started, one after another
    Then each stop ended with status 0 within 20 s
    And every call was answered
    And each booking ran once
    And no backend server ran more requests than its limit

  @fixture.small_short_keep
  Scenario: A second signal stops an entry at once and logs the remaining work
    Given a lookup of dossier that takes 4000 ms through entry-1
    When entry-1 gets two signals to stop
    Then entry-1 ended with status 3
    And its log names "stopped before all steps finished" and 1 request in flight

  @fixture.small_short_keep
  Scenario: Other entries stop returning the address of a stopping entry
    When entry-1 gets a signal to stop
    Then no entry returns the address of entry-1 to callers within 1000 ms
    And entry-1 still answers lookups
