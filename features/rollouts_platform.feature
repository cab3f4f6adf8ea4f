Feature: Roll-outs on the platform

  @fixture.platform
  Scenario: Orders that can't be carried out are refused
    When the operator sends configuration 1 on 0
    Then each wrong order of a roll-out is answered with its status
    And a question about a roll-out that was never ordered is answered 404
    When a roll-out of dossier to v2 in 60 s is ordered
    Then it is acknowledged with 200
    When a roll-out of dossier to v2 in 60 s is ordered
    Then it is acknowledged with 200
    When a roll-out of dossier to v3 in 60 s is ordered
    Then it is acknowledged with 412
    And every control VM says that the roll-out of dossier is running
    When two of the control VMs are killed
    Then a roll-out of keepsake is answered 503

  @fixture.platform
  Scenario: A good version replaces the earlier one, leader lost or not
    When the operator sends configuration 1 on 0
    Given a target of dossier and one of keepsake
    Then a lookup and a booking are answered by their services
    When a roll-out of dossier to v2 in 12 s is ordered
    Then it is acknowledged with 200
    Given two targets of dossier with version v2
    When lookups are sent all the time
    And the leader is killed after 3 s, and an entry is started again
    Then the roll-out of dossier is completed within 14 s
    And the targets of v1 get no request after that, while they announce themselves
    And each lookup was answered, and v2 got few before all of them

  @fixture.platform
  Scenario: A bad version is rolled back, and another one may follow
    When the operator sends configuration 1 on 0
    Given a target of dossier and one of keepsake
    Then a lookup and a booking are answered by their services
    When a roll-out of dossier to v2 in 30 s is ordered
    Given two targets of dossier with version v2
    And the targets of v2 fail
    When lookups are sent all the time
    Then the roll-out of dossier is rolled back within 25 s
    And v2 gets nothing from then on, also after all programs are started again
    When a roll-out of dossier to v3 in 12 s is ordered
    Then it is acknowledged with 200
    And every control VM says that the roll-out of dossier is running
