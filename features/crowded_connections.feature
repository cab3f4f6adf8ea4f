Feature: Refusals keep their place, and callers that take their answers keep theirs

  Scenario: A refusal behind a request that runs reaches its caller as it is
    Given a server that is nearly out of memory and whose lookups take 300 ms
    When a caller sends a lookup, and right behind it a body of 50000 bytes
    Then the caller gets 200, then 503 with a Retry-After
    And the server has handled just the lookup
    And the server holds no bytes for the caller any more

  Scenario: A caller that takes a long answer steadily is not ended for another one
    Given a server with room for 2 connections
    And an unused connection, and a caller that steadily takes 8 MB
    When a third connection is opened
    Then the unused connection is ended
    And the caller gets its whole answer
