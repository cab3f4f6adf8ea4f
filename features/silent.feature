Feature: Open connections that go silent fail at most one call

  @fixture.small_relayed
  Scenario: Connections from entries to backend servers
    Given connections to the backend servers of dossier are in use
    When the open connections from entries to backend servers go silent
    And 12 lookups of dossier are sent one after the other
    Then all but at most 1 of them were answered
    And no entry detected more than 1 silent connection

  @fixture.sparse_relayed
  Scenario: Connections between entries
    Given connections to the backend servers of dossier are in use
    When the open connections between entries go silent
    And 12 lookups of dossier are sent one after the other
    Then all but at most 1 of them were answered
    And no entry detected more than 1 silent connection

  @fixture.sparse_relayed
  Scenario: A booking uses no connection that was idle for a while
    Given connections to the backend servers of creneau are in use
    And 1 s passes
    When the open connections from entries to backend servers go silent
    And the open connections between entries go silent
    And 6 bookings "silent-" of creneau are sent one after the other
    Then all of them were answered
