Feature: An entry that can't confirm its settings forwards no requests

  @fixture.small_relayed
  Scenario: An entry that is cut off from control reports not run
    Given 6 callers that send lookups and bookings through all entries
    When entry-1 is cut off from control
    And 5 s have passed
    And a lookup is sent to dossier
    Then it ended as "not-run" with status 503
    And the message names the addresses of the other entries
    And entry-1 forwarded no more requests after 5 s
    And entry-1 rejects address requests and names the other entries
    And entry-1 rejects announcements
    When the relays forward all bytes again
    Then entry-1 answers again within 6 s
    And requests reported as not run did not run

  @fixture.small
  Scenario: The control group has lost its majority
    When two control VMs are killed
    And 5 s have passed
    And a lookup is sent to dossier
    Then it ended as "not-run" with status 503
    When the control VMs are restarted
    Then entry-1 answers again within 10 s

  @fixture.small_relayed
  Scenario: A control VM that is cut off forwards no lease
    Given entry-1 reaches a following control VM only
    And 6 callers that send lookups and bookings through all entries
    When that control VM is cut off from the others
    And 4 s have passed
    And a lookup is sent to dossier
    Then it ended as "not-run" with status 503
    And entry-1 forwarded no more requests after 4 s
    And requests reported as not run did not run
    When the faults of control VMs end
    Then entry-1 answers again within 6 s
