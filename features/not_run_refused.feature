@fixture.small
Feature: A refused connection is reported as "not run"

  Scenario: No backend server accepts connections
    When all backend servers are killed and 30 requests of each kind sent
    Then at least 50 of them got "not-run"
