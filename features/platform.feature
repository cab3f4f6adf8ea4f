Feature: The programs on the platform

  @fixture.platform
  Scenario: A calm moment, from the first start to an answer
    When the operator sends configuration 1 on 0
    Then it is acknowledged with 200
    Given a target of dossier and one of keepsake
    Then every entry is ready
    And a lookup and a booking are answered by their services
    And the directory names every entry to callers

  @fixture.platform
  Scenario: A configuration is accepted once, and again when it is sent again
    When the operator sends configuration 1 on 0
    And the operator sends configuration 2 on 1
    Then it is acknowledged with 200
    When the operator sends configuration 1 on 0
    Then it is acknowledged with 200
    When the operator sends configuration 3 on 1
    Then it is acknowledged with 412
    When the operator sends configuration 2 on 2
    Then it is acknowledged with 400
    And every control VM reads back configuration 2

  @fixture.platform
  Scenario: Configurations that are not valid are refused and not in force
    When the operator sends configuration 1 on 0
    Then each configuration that is not valid is answered 400
    And every control VM reads back configuration 1

  @fixture.platform
  Scenario: Heartbeats that name no backend server are refused, the others hold
    When the operator sends configuration 1 on 0
    Given a target of dossier and one of keepsake
    Then each heartbeat that names none is answered 400
    And a lookup and a booking are answered by their services

  @fixture.platform
  Scenario: A target gets nothing after its farewell, nor after a late heartbeat
    When the operator sends configuration 1 on 0
    Given a target of dossier and one of keepsake
    And a second target of dossier
    Then a lookup and a booking are answered by their services
    When the second target says farewell and a late heartbeat follows
    Then the second target gets nothing after 2000 ms

  @fixture.platform
  Scenario: An evacuated data centre gets nothing until it is taken back
    When the operator sends configuration 1 on 0
    Given a target of dossier and one of keepsake
    Then a lookup and a booking are answered by their services
    When the data centre is evacuated
    Then lookups are refused within 2000 ms
    When the data centre is taken back
    Then a lookup and a booking are answered by their services

  @fixture.platform
  Scenario: Control survives its leader, a lost disk and a whole restart
    When the operator sends configuration 1 on 0
    And the first control VM is killed and loses its disk
    And the operator sends configuration 2 on 1
    Then it is acknowledged with 200
    When the first control VM is started again
    Then it reads back configuration 2
    When another control VM is killed
    And the operator sends configuration 3 on 2
    Then it is acknowledged with 200
    When all programs are killed and started again
    Then every control VM reads back configuration 3
    And every entry is ready

  @fixture.platform
  Scenario: A control VM is replaced by an empty one at another address
    When the operator sends configuration 1 on 0
    And the first control VM is replaced by an empty one elsewhere
    Then the new one reads back configuration 1
    And the group has 3 members within 20 s
    When another control VM is killed
    And the operator sends configuration 2 on 1
    Then it is acknowledged with 200

  @fixture.platform
  Scenario: A stopped entry leaves the directory and cuts no request
    When the operator sends configuration 1 on 0
    Given a target of dossier and one of keepsake
    Then every entry is ready
    When an entry is stopped while lookups are sent to it
    Then no lookup was cut
    And the directory names only the other entry

  @fixture.platform
  Scenario: A changed settings file and SIGHUP change nothing that is under way
    When the operator sends configuration 1 on 0
    Given a target of dossier and one of keepsake
    Then every entry is ready
    When the entries get SIGHUP
    Then a lookup and a booking are answered by their services

  @fixture.platform
  Scenario: An entry that starts while no control VM leads serves all the same
    When the operator sends configuration 1 on 0
    Given a target of dossier and one of keepsake
    Then every entry is ready
    When all control VMs but one are killed
    And an entry is killed and started again
    Then a lookup and a booking are answered by their services
