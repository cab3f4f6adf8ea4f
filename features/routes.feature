Feature: Routes, applied with the product's commands and followed by its entries

  Scenario Outline: Routes are checked before they are sent
    When the routes of "<file>" are checked
    Then the command ends with status <status> and prints "<text>"

    Examples:
      | file                       | status | text                          |
      | examples/routes.json       | 0      | is well-formed                |
      | examples/wrong/routes.json | 1      | two routes have host          |
      | examples/wrong/syntax.json | 1      | is not JSON with comments     |
      | examples/nowhere.json      | 1      | can't be read                 |

  Scenario Outline: The wrong field of a route is reported
    When routes are checked in which <field> is <value>
    Then the command ends with status 1 and prints "<text>"

    Examples:
      | field        | value     | text            |
      | prefix       | "look"    | prefix          |
      | attempts     | 0         | attempts        |
      | timeout_ms   | 600001    | timeout_ms      |
      | objective_ms | 62000     | objective_ms    |
      | weight       | -1        | weight          |
      | service      | "nobody"  | is no service   |
      | colour       | "red"     | colour          |

  @fixture.routed
  Scenario: Routes are applied, shown, sent again, and refused on a wrong base
    When the routes of "examples/routes.json" are applied on 0
    Then the command ends with status 0 and prints ""in_force": true"
    And the text in force is that of "examples/routes.json"
    When the routes of "examples/routes.json" are applied on 0
    Then the command ends with status 0 and prints ""revision": 1"
    When other routes are applied on 0
    Then the command ends with status 1 and prints "number 1 is in force, not 0"
    When other routes are applied on 1
    Then the command ends with status 0 and prints ""revision": 2"
    When the control VMs are killed and started again
    Then the text in force is that of the other routes

  @fixture.routed
  Scenario: Lookups and confirmations are sent to the services of their routes
    When the routes of "examples/routes.json" are applied on 0
    Given a target of each service in each data centre
    Then a lookup is answered by dossier at each entry
    And of 60 confirmations 1 to 18 are run by creneau-next, the rest by creneau
    And a path without a route is answered with 404

  @fixture.routed
  Scenario: A data centre that is taken out gets no requests until it is back
    When the routes of "examples/routes.json" are applied on 0
    Given a target of each service in each data centre
    Then a lookup is answered by dossier at each entry
    When the operator takes brest out
    Then 20 lookups run in vannes alone
    When the operator brings brest back
    Then lookups run in brest again

  @fixture.routed
  Scenario: A single server that is taken out gets no requests until it is back
    When the routes of "examples/routes.json" are applied on 0
    Given a target of each service in each data centre
    Then a lookup is answered by dossier at each entry
    When the server of dossier in brest is taken out of service
    Then 20 lookups run in vannes alone
    When the server of dossier in brest is put back into service
    Then lookups run in brest again

  @fixture.routed
  Scenario: A draining target gets no requests, and wrong announcements are refused
    When the routes of "examples/routes.json" are applied on 0
    Given a target of each service in each data centre
    Then a lookup is answered by dossier at each entry
    When the target of dossier in brest announces that it is draining
    Then 20 lookups run in vannes alone
    And an announcement of a service that no route names is refused with 404
    And an announcement without slots is refused with 400 and a remedy

  @fixture.routed
  Scenario: A planned stop of an entry fails no lookup, and it is no longer announced
    When the routes of "examples/routes.json" are applied on 0
    Given a target of each service in each data centre
    Then a lookup is answered by dossier at each entry
    When the first entry is stopped while lookups are sent to it
    Then it ends with status 0, and every lookup was answered
    And the second entry lists only its own address
