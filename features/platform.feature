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
    And lookups reach both targets of dossier
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

  @fixture.platform
  Scenario: A large configuration takes a small part of the bytes to every VM
    When the operator sends configuration 1 on 0 with 1800 routes more
    Then it is acknowledged with 200
    And every entry follows configuration 1
    And every control VM reads back configuration 1 with 1802 routes
    And the logs of control VMs hold less than 2 Mbit/s carry in 250 ms

  @fixture.platform
  Scenario: The platform fetches metrics of every VM where it was told
    When the operator sends configuration 1 on 0
    Given a target of dossier and one of keepsake
    Then a lookup and a booking are answered by their services
    And every VM shows metrics at the place that deploy/system.toml names
    And one control VM shows that it leads
    And the first entry shows a counter and a histogram of requests in seconds

  @fixture.platform
  Scenario: A VM on which the port for metrics is taken runs without
    When the port for metrics of an entry is taken
    And the entry is started again
    And the operator sends configuration 1 on 0
    Then every entry is ready
    And the entry logs that it does not serve metrics

  @fixture.platform
  Scenario: A request that crashed two targets reaches no third one, at any entry
    When the operator sends configuration 1 on 0
    Given a target of dossier and one of keepsake
    And two more targets of dossier
    Then a lookup and a booking are answered by their services
    When a lookup is sent that crashes each target that runs it
    Then every entry knows of two crashes within 3000 ms
    And every entry refuses that lookup, and says why
    And the last target of dossier never got it
    And another lookup is answered at every entry

  @fixture.platform_of_five
  Scenario: Control VMs that lost their disks join again, whoever leads
    When the operator sends configuration 1 on 0
    Then 5 control VMs vote within 20 s
    When a control VM that is no seed leads
    And two seeds are killed, lose their disks, and are started again
    Then 5 control VMs vote within 20 s
    And every control VM reads back configuration 1
