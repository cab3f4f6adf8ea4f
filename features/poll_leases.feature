Feature: Forwarded leases, and the bounds that polls report

  Scenario: A lease is sent only with rows of its version
    Given a control VM with the rows of version 5
    When a stream that has version 5 is answered with leases of version 7
    Then nothing is sent
    When the rows of version 6 arrive
    Then rows without a lease are sent with version 6
    When the rows of version 7 arrive
    Then rows with the lease are sent with version 7

  Scenario: A delayed poll does not shorten the bounds
    Given a leader that received bounds of 9000 ms with poll 7 of an entry
    When poll 6 with bounds of 100 ms arrives
    Then the leader assumes bounds of 9000 ms
    When a new leader receives a poll of the former term with bounds of 100 ms
    Then the leader assumes the longest possible bounds
