@fixture.small
Feature: Callers get complete answers, and disconnecting cancels the request

  Scenario: A caller disconnects while its lookup runs
    Given the backend servers take 5000 ms
    When a caller sends a lookup of dossier and disconnects while it runs
    Then within 2 s no backend server runs a request

  Scenario Outline: A caller disconnects with <count> lookups sent in a row
    Given the backend servers take 5000 ms
    When a caller sends <count> lookups of dossier in a row and disconnects while the first one runs
    Then within 2 s no backend server runs a request

    Examples:
      | count |
      | 2     |
      | 5     |

  Scenario: Backend servers close connections during their answers
    Given the backend servers take 5 ms
    And the backend servers truncate their answers
    When 6 lookups of dossier are sent one after the other
    Then none of them got the outcome answered
