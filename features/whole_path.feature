@fixture.small
Feature: Requests from a caller to a backend server and their answers

  Scenario: A lookup gets the complete answer to its own request
    When 20 callers each look up a path of their own in dossier
    Then each got the complete answer to its own request

  Scenario: A booking runs once however often it is sent
    When a booking with key "booking-1" is sent to creneau through each entry
    Then all of them got the same answer
    And the backend servers ran "booking-1" 1 time

  Scenario: A booking without a key is refused with outcome not-run
    When a booking without a key is sent to creneau
    Then it ended as "not-run" with status 400
    And the message names "Idempotency-Key"

  Scenario: A request to an unknown service is refused with outcome not-run
    When a lookup is sent to unknown
    Then it ended as "not-run" with status 404
