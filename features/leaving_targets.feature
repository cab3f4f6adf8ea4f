Feature: An entry sends nothing more to a target that says it leaves

  Background:
    Given an entry with routes for lookups and bookings
    And 2 targets

  Scenario Outline: A target says so in <answer>
    When the first target leaves and answers with <answer>
    And lookups are sent until it has answered one
    And 30 lookups and bookings are sent
    Then the first target received none of them
    And all of them were answered with 200

    Examples:
      | answer             |
      | a success          |
      | an error           |
      | a refusal          |
      | an unpromised 503  |
      | another's answer   |
      | an interim answer  |
      | a second answer    |
      | a late answer      |

  Scenario: The answer to a request for another instance counts too
    When the first target leaves and was replaced by an instance unknown yet
    And lookups are sent until it has answered one
    And 30 lookups and bookings are sent
    Then the first target received none of them

  Scenario: The answer to a health check counts
    When the first target leaves, and its load is asked for
    And 30 lookups and bookings are sent
    Then the first target received none of them

  Scenario: The header is not passed on to callers
    When both targets leave
    Then a lookup's answer has no header of the target's own but the seal

  Scenario Outline: <value> says nothing
    When both targets answer with the header "<value>"
    And 30 lookups and bookings are sent
    Then both targets received some of them

    Examples:
      | value |
      | 0     |
      | yes   |
      | 11    |
      | -1    |

  Scenario: Requests that wait, repeats and hedges go elsewhere
    Given the first target can serve 1 request at a time
    When a request fills each target, and 3 lookups wait behind them
    And the first target leaves with the answer to its request
    Then the first target gets none of those that waited

  Scenario: A request whose connection opens slowly is sent elsewhere
    When the first target leaves while a connection to it opens
    Then the request is sent to the second target

  Scenario: All targets leave
    When both targets leave
    And lookups are sent until both have answered one
    Then the next lookup is refused with 503 within 200 ms
    And it gives a time to come back

  Scenario Outline: The mark belongs to the incarnation, not to the address
    When the first target leaves
    And lookups are sent until it has answered one
    And the row of the first target comes again <how>
    Then the first target is <used>

    Examples:
      | how                               | used     |
      | with a later heartbeat            | not used |
      | after it was removed              | not used |
      | with all other rows               | not used |
      | with another instance             | used     |
      | with the same id and a later born | used     |
