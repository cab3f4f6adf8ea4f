Feature: What was withdrawn stays withdrawn after a restart

  @fixture.platform
  Scenario Outline: A target that left is not used after <event>
    When the operator sends configuration 1 on 0
    Given a target of dossier and one of keepsake
    And a second target of dossier
    Then lookups reach both targets of dossier
    When the second target deregisters and a late heartbeat follows
    And <event>
    And a late heartbeat of the second target arrives
    Then the second target gets no requests for 2000 ms

    Examples:
      | event                                                    |
      | all programs are killed and started again                |
      | the entries are killed and started again                 |
      | the leader is killed and started again                   |
      | the leader is killed and starts again with an empty disk |
      | a control VM is frozen for 3 s while the leader is killed |

  @fixture.platform
  Scenario Outline: A data centre that is out of service and a route that was removed stay so after <event>
    When the operator sends configuration 1 on 0
    Given a target of dossier and one of keepsake
    Then a lookup and a booking are answered by their services
    When the data centre is evacuated
    And the operator sends configuration 2 on 1 without bookings
    Then it is acknowledged with 200
    When <event>
    Then for 2000 ms no target gets a request, and bookings are only answered 404 or 503

    Examples:
      | event                                                    |
      | all programs are killed and started again                |
      | the entries are killed and started again                 |
      | the leader is killed and starts again with an empty disk |
