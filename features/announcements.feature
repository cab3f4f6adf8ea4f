@fixture.small
Feature: Announcements of backend servers, and the entries that callers learn of

  Scenario: Callers get near entries first, and are spread over equal ones
    Then a caller in vannes gets the entry in vannes first
    And callers in no data centre are spread over all entries

  Scenario: A backend server without announcements is removed, then added again
    When a backend server of keepsake stops announcing itself
    Then its target is removed within 20 s
    When it announces itself again
    Then its target is known within 10 s

  Scenario: An address can't be announced for two services
    When an address of dossier is announced for creneau
    Then the announcement is refused with status 409

  Scenario: A service that is not in the settings is refused
    When an address of dossier is announced for unknown
    Then the announcement is refused with status 404

  Scenario Outline: An announcement that is malformed is refused
    When an announcement says "<field>" is "<value>"
    Then the announcement is refused with status 400

    Examples:
      | field   | value         |
      | slots   | -1            |
      | slots   | 1000000       |
      | state   | happy         |
      | address | example.com   |
      | more    | anything      |

  # Guards against announcements whose decoding takes many times their length.
  Scenario: An announcement that is too long is refused
    When an announcement of 20000 bytes is sent
    Then the announcement is refused with status 413

  Scenario: A backend server that announces too many slots gets no more requests
    When the backend servers of dossier announce 100 slots
    And 40 callers each look up a path of their own in dossier
    Then no backend server ran more requests than its limit

  Scenario: A backend server that announces that it leaves gets no new work
    Given 6 callers that send lookups and bookings through all entries
    When the backend servers of dossier in rennes leave
    Then they got no new work later than 5000 ms after announcing it
    And every call was answered

  Scenario: All backend servers restart at once
    When all backend servers restart at once
    Then all new instances are known within 10 s

  Scenario: The announcements reach the new owner after the old one is killed
    When a kill ends the entry entry-1
    Then all targets have an owner that runs within 10 s
    And no target is removed within 20 s
