@fixture.small
Feature: A backend server in cold start gets no more requests than it can handle

  Scenario: Servers announce that they are cold
    Given every target of dossier is warm
    When the targets of dossier announce that they are cold
    And they are cold for their next 200 runs
    And dossier is under load for 3 s
    Then no backend server ran more requests than its limit
    When the targets of dossier announce that they are ready
    Then every target of dossier reaches its full limit within 20 s

  Scenario: A server crashes and starts cold without announcing it
    Given every target of dossier is warm
    When one target of dossier crashes under load
    And dossier is under load for 3 s
    Then after its first failure the target ran no more than it can handle

  Scenario: Servers restart while they are idle and can't announce it
    Given every target of dossier is warm
    When the targets of dossier announce nothing
    And every target of dossier crashes while it is idle
    And 12 requests for dossier are sent at once through each entry
    Then no backend server ran more requests than its limit

  Scenario: Servers become cold while they are idle and report it in answers
    Given every target of dossier is warm
    When every target of dossier becomes cold and has no work for 1500 ms
    And 12 requests for dossier are sent at once through each entry
    Then no backend server ran more requests than its limit
