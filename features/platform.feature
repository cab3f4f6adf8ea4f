Feature: The programs on the platform

  @fixture.platform
  Scenario: From the first start to an answered request
    When the operator sends configuration 1 on 0
    Then it is acknowledged with 200
    Given a target of dossier and one of keepsake
    Then every entry is ready
    And a lookup and a booking are answered by their services
    And the directory names every entry to callers

  @fixture.platform
  Scenario: A configuration is accepted again when it is resent
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
  Scenario: Invalid configurations are refused and do not take effect
    When the operator sends configuration 1 on 0
    Then each invalid configuration is answered 400
    And every control VM reads back configuration 1

  @fixture.platform
  Scenario: Routes of downloads, and client accounts, are accepted
    When the operator sends downloads and client accounts as 1 on 0
    Then it is acknowledged with 200
    Given a target of dossier and one of keepsake
    Then a lookup and a booking are answered by their services
    And every control VM reads back configuration 1

  @fixture.platform
  Scenario: Invalid heartbeats are refused, and valid ones stay in effect
    When the operator sends configuration 1 on 0
    Given a target of dossier and one of keepsake
    Then each invalid heartbeat is answered 400
    And a lookup and a booking are answered by their services

  @fixture.platform
  Scenario: A deregistered target gets no requests, even after a late heartbeat
    When the operator sends configuration 1 on 0
    Given a target of dossier and one of keepsake
    And a second target of dossier
    Then a lookup and a booking are answered by their services
    And lookups reach both targets of dossier
    When the second target deregisters and a late heartbeat follows
    Then the second target gets no requests after 2000 ms

  @fixture.platform
  Scenario: An evacuated data centre gets no requests until it is brought back
    When the operator sends configuration 1 on 0
    Given a target of dossier and one of keepsake
    Then a lookup and a booking are answered by their services
    When the data centre is evacuated
    Then lookups are refused within 2000 ms
    When the evacuation of the data centre ends
    Then a lookup and a booking are answered by their services

  @fixture.platform
  Scenario: Control survives losing its leader and a disk, and a full restart
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
  Scenario: A stopped entry leaves the directory and fails no request
    When the operator sends configuration 1 on 0
    Given a target of dossier and one of keepsake
    Then every entry is ready
    When an entry is stopped while lookups are sent to it
    Then no lookup failed
    And the directory names only the other entry

  @fixture.platform
  Scenario: Entries keep serving after SIGHUP
    When the operator sends configuration 1 on 0
    Given a target of dossier and one of keepsake
    Then every entry is ready
    When the entries get SIGHUP
    Then a lookup and a booking are answered by their services

  @fixture.platform
  Scenario: An entry that starts while there is no leader serves requests
    When the operator sends configuration 1 on 0
    Given a target of dossier and one of keepsake
    Then every entry is ready
    When all control VMs but one are killed
    And an entry is killed and started again
    Then a lookup and a booking are answered by their services

  @fixture.platform
  Scenario: A large configuration is compressed on its way to every VM
    When the operator sends configuration 1 on 0 with 1800 more routes
    Then it is acknowledged with 200
    And every entry applies configuration 1
    And every control VM reads back configuration 1 with 1802 routes
    And the log of each control VM is smaller than 250 ms of 2 Mbit/s

  @fixture.platform
  Scenario: The platform can fetch the metrics of every VM
    When the operator sends configuration 1 on 0
    Given a target of dossier and one of keepsake
    Then a lookup and a booking are answered by their services
    And every VM serves metrics at the address in deploy/system.toml
    And the metrics of one control VM show that it is the leader
    And the first entry serves a counter and a histogram of requests in seconds

  @fixture.platform
  Scenario: An entry whose port for metrics is in use runs without metrics
    When the port for metrics of an entry is in use
    And the entry is started again
    And the operator sends configuration 1 on 0
    Then every entry is ready
    And the entry logs that it does not serve metrics

  @fixture.platform
  Scenario: No entry sends a request that crashed two targets to a third one
    When the operator sends configuration 1 on 0
    Given a target of dossier and one of keepsake
    And two more targets of dossier
    Then a lookup and a booking are answered by their services
    When a lookup is sent that crashes each target that runs it
    Then every entry knows of two crashes within 3000 ms
    And every entry refuses that lookup with the reason
    And the last target of dossier did not receive it
    And another lookup is answered at every entry

  @fixture.platform_of_five
  Scenario: Control VMs that lost their disks rejoin while a leader is no seed
    When the operator sends configuration 1 on 0
    Then 5 control VMs vote within 20 s
    When a control VM that is no seed is the leader
    And two seeds are killed, lose their disks, and are started again
    Then 5 control VMs vote within 20 s
    And every control VM reads back configuration 1

  # Guards against a group that counts a control VM which was stopped for good,
  # and ends with the next lost disk.
  @fixture.platform
  Scenario: A planned replacement and then the loss of a disk leave a majority
    When the operator sends configuration 1 on 0
    And an empty control VM elsewhere has joined as a voter
    And a control VM that follows is stopped for good
    And the operator sends configuration 2 on 1
    And another control VM that follows loses its disk and is started again
    Then every control VM reads back configuration 2
    And 3 control VMs vote within 20 s
    When the operator sends configuration 3 on 2
    Then it is acknowledged with 200

  # The same without a notice: the removed VM is killed.
  @fixture.platform
  Scenario: One of four voters is killed, and 2 s later another loses its disk
    When the operator sends configuration 1 on 0
    And an empty control VM elsewhere has joined as a voter
    And a control VM that follows is killed for good
    And 2000 ms go by
    And another control VM that follows loses its disk and is started again
    Then every control VM reads back configuration 1
    And 3 control VMs vote within 20 s

  @fixture.platform
  Scenario: One of four voters that is stopped and started again votes again
    When the operator sends configuration 1 on 0
    And an empty control VM elsewhere has joined as a voter
    And a control VM that follows is stopped and started again
    Then 4 control VMs vote within 20 s
    And every control VM reads back configuration 1

  @fixture.platform
  Scenario: One of three voters that is stopped stays a member of its group
    When the operator sends configuration 1 on 0
    And a control VM that follows is stopped
    Then the group counts 3 voters

  @fixture.platform
  Scenario: A control VM fails and loses its disk before it has written anything
    When the second control VM is killed and started again with an empty disk
    And the operator sends configuration 1 on 0
    Then it is acknowledged with 200
    And 3 control VMs vote within 20 s

  # Guards against an order that was held up until its caller had given up and
  # sent a newer one.
  @fixture.platform
  Scenario: An order that arrives with the end of its connection does nothing
    When the operator sends configuration 1 on 0
    Given a target of dossier and one of keepsake
    Then a lookup and a booking are answered by their services
    When the data centre is evacuated
    Then lookups are refused within 2000 ms
    When each control VM gets an order to end it, with the end of the connection
    Then lookups are refused for 2000 ms
    When the evacuation of the data centre ends
    Then a lookup and a booking are answered by their services
