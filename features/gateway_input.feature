Feature: An entry that sends to every target passes on only what can be read in one way

  Background:
    Given an entry with routes for lookups and bookings
    And 1 target

  Scenario Outline: <bytes> is refused, and reaches no target
    When a caller sends the bytes of <bytes>
    Then it is refused with 400 and its connection ends
    And no target was reached
    And a lookup on another connection is answered whole

    Examples:
      | bytes                         |
      | two lengths                   |
      | the same length twice         |
      | a length and chunks           |
      | a coding that is not known    |
      | a coding before chunks        |
      | two codings                   |
      | a space before the colon      |
      | a negative length             |
      | a length with a sign          |
      | a folded header               |
      | line feeds alone              |
      | a carriage return in a value  |
      | a zero byte in a value        |
      | a chunk without a size        |
      | two hosts                     |
      | a space in the path           |
      | a control character in the path |
      | another protocol              |

  Scenario Outline: <header> that comes twice is refused
    When a lookup comes with <header> twice
    Then its status is 400
    And no target was reached

    Examples:
      | header      |
      | Request-Id  |
      | Deadline-Ms |

  Scenario: A request that is hidden in the body of another is its body
    When a booking comes whose body reads like a request
    Then its status is 200
    And the target got that one request and its whole body

  Scenario: What stands behind a body in chunks is not passed on
    When a booking comes in chunks, with an extension and a header behind them
    Then its status is 200
    And the target got that one request and its whole body
    And without the header that stood behind it

  Scenario: A caller can't have its id or its deadline left out
    When a lookup comes that calls its id and its deadline headers of its connection
    Then its status is 200
    And the target got its id and a deadline
