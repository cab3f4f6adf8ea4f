Feature: Commands show what needs attention and why

  @fixture.small
  Scenario: Status reports problems with their remedies
    When the command "status" is run
    Then it prints "3 control VMs, 3 entries, 9 targets" and ends with status 0
    When the command "take-out --data-centre rennes --operator maela --wait" is run
    And the command "status" is run
    Then it prints "taken out of service by maela" and ends with status 0
    When the command "bring-back --data-centre rennes --wait" is run
    And the backend servers of creneau in brest drain
    And the backend servers of creneau in rennes drain
    And the command "status" is run
    Then it prints "has usable targets in vannes alone" and ends with status 0
    When the backend servers of creneau in vannes drain
    And the command "status" is run
    Then it prints "its requests are answered as not run" and ends with status 4
    When control VM control-3 is killed
    And the command "status" is run
    Then it prints "0 more may be lost" and ends with status 4
    When control VM control-2 is killed
    And the command "status" is run
    Then it prints "no majority: " and ends with status 4

  @fixture.small
  Scenario: The owner of a target explains why it is cold
    When the nearest backend server of dossier crashes
    And the command "explain --target" is run for one of them
    Then it prints "it ended its last unused connection" or "it came back as another instance"

  @fixture.small
  Scenario: History shows events of all processes, also after a restart
    When the command "take-out --data-centre rennes --operator maela --wait" is run
    And the command "bring-back --data-centre rennes --operator yann --wait" is run
    And entry entry-3 is killed and its targets are owned by others
    And the command "history" is run
    Then it prints "taken out of service by maela" before "brought back into service by yann"
    And it prints "brought back into service by yann" before "lost session"
    And it prints "lost session" before "is to be owned by entry-"
    And it prints "joined session=" and ends with status 0
    When every control VM is killed and started again
    And the command "history --about rennes" is run
    Then it prints "taken out of service by maela" before "brought back into service by yann"
