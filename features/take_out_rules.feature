Feature: What may be taken out of service

  Scenario Outline: A change is refused where a service or callers lose all
    Given targets of dossier in "<targets>"
    And entries in "<entries>"
    And "<out>" is out already
    When "<taken>" is asked to be taken out
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

  Scenario: Two operators who each take out one of the last two
    Given targets of dossier in "brest vannes"
    And entries in "brest vannes rennes"
    When "brest" is asked to be taken out
    Then it is "accepted"
    When "vannes" is asked to be taken out
    Then it is "no target left: dossier"
    When "vannes" is asked to be taken out by force
    Then it is "accepted"

  Scenario: A change that is sent again gets its first result
    Given targets of dossier in "brest vannes"
    And entries in "brest vannes rennes"
    When "brest" is asked to be taken out
    And the same change is sent again
    Then both got the same revision

  Scenario: What is not taken out can't be brought back
    Given targets of dossier in "brest vannes"
    When "brest" is asked to be brought back
    Then it is "not taken out"
