Feature: Rules for taking data centres out of service

  Scenario Outline: A change is refused if a service loses all targets or callers all entries
    Given targets of dossier in "<targets>"
    And entries in "<entries>"
    And "<out>" is out of service already
    When an operator takes out "<taken>"
    Then it is "<outcome>"

    Examples:
      | targets                    | entries       | out    | taken  | outcome                     |
      | brest vannes               | brest vannes  |        | brest  | accepted                    |
      | brest                      | brest vannes  |        | brest  | no target left: dossier     |
      | brest vannes               | brest vannes  | vannes | brest  | no target left: dossier     |
      | brest vannes:draining      | brest vannes  |        | brest  | no target left: dossier     |
      | brest vannes:leaving       | brest vannes  |        | brest  | no target left: dossier     |
      | brest vannes:cold          | brest vannes  |        | brest  | accepted                    |
      | vannes                     | brest         |        | brest  | callers would have no entry |
      | vannes:draining brest      | brest rennes  | brest  | rennes | callers would have no entry |
      | vannes:draining            | brest vannes  |        | brest  | accepted                    |
      | brest vannes               | brest vannes  |        | brset  | 'brset' is known            |
      | brest vannes rennes        | brest vannes  | brest  | brest  | accepted                    |

  Scenario: Two operators each take out one of the last two data centres
    Given targets of dossier in "brest vannes"
    And entries in "brest vannes rennes"
    When an operator takes out "brest"
    Then it is "accepted"
    When an operator takes out "vannes"
    Then it is "no target left: dossier"
    When an operator takes out "vannes" by force
    Then it is "accepted"

  Scenario: A resent change gets the result of the first
    Given targets of dossier in "brest vannes"
    And entries in "brest vannes rennes"
    When an operator takes out "brest"
    And the same change is resent
    Then both have the same revision

  Scenario: A data centre in service can't be brought back
    Given targets of dossier in "brest vannes"
    When an operator brings back "brest"
    Then it is "not taken out"
