Feature: Leases that are passed on, and what is told with polls

  Scenario: A lease waits for the rows that go with it
    Given a control VM with the rows of version 5
    When a stream that has version 5 is answered with leases of version 7
    Then nothing is sent
    When the rows of version 6 arrive
    Then rows without a lease are sent with version 6
    When the rows of version 7 arrive
    Then rows with the lease are sent with version 7

  Scenario: A poll that is late does not shorten the work that is counted
    Given a leader that was told of 9000 ms by the poll 7 of an entry
    When the poll 6 tells of 100 ms
    Then the leader counts with 9000 ms
    When another leader gets a poll of before its time that tells of 100 ms
    Then the leader counts with the longest there is
