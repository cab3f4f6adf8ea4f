Feature: A second copy of an answer that comes late reaches no other caller

  Background:
    # The bodies of both answers have the same length.
    Given a server that sends a second copy of its first answer

  Scenario Outline: The copy of <answer> comes <when> on a connection of the platform's entry
    Given an entry of the platform that uses only this server
    When the first answer is <answer> and its copy comes <when>
    And two bookings are sent one after the other
    Then the second one got its own answer
    And nothing ran twice

    Examples:
      | answer                  | when                                 |
      | a success               | in one segment with the next answer  |
      | a success               | before the next answer, cut in two   |
      | a success               | between the two requests             |
      | a refusal               | in one segment with the next answer  |
      | a refusal               | before the next answer, cut in two   |
      | a refusal               | between the two requests             |

  # Guards against a promise that a request has not run, made by the copy of an
  # earlier refusal.
  Scenario Outline: The copy of a refusal comes without its id <when>
    Given an entry of the platform that prefers this server to another one
    When the first answer is a refusal, and a copy without its id comes <when>
    And two bookings are sent one after the other to this server first
    Then the second one was not refused
    And the second one reached no other server

    Examples:
      | when                                |
      | in one segment with the next answer |
      | before the next answer, cut in two  |
      | between the two requests            |

  Scenario: A refusal without an id may be a copy, so it promises nothing
    Given an entry of the platform that uses only this server
    When every answer is a refusal without an id
    And a booking is sent
    Then its status is 502
    And its answer took 0 to 1000 ms

  Scenario Outline: The copy of <answer> comes <when> on a connection of the product's entry
    When the first answer is <answer> and its copy comes <when>
    And the product's pool sends it two requests one after the other
    Then the second one got its own answer
    And nothing ran twice

    Examples:
      | answer                  | when                                 |
      | a success               | in one segment with the next answer  |
      | a success               | before the next answer, cut in two   |
      | a success               | between the two requests             |
      | a refusal               | in one segment with the next answer  |

  Scenario: A server without ids can't be told apart but for surplus bytes
    When the first answer is a success without an id and its copy comes between the two requests
    And the product's pool sends it two requests one after the other
    Then the second one got its own answer
