Feature: A gateway forwards only requests that can be parsed in one way

  Background:
    Given an entry with routes for lookups and bookings
    And 1 target

  Scenario Outline: <bytes> is rejected, and reaches no target
    When a caller sends the bytes of <bytes>
    Then it is rejected with 400 and its connection ends
    And no target was reached
    And a lookup on another connection is answered completely

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

  Scenario Outline: A duplicate <header> is rejected
    When a lookup is sent with <header> twice
    Then its status is 400
    And no target was reached

    Examples:
      | header      |
      | Request-Id  |
      | Deadline-Ms |

  Scenario: A request inside the body of another one is forwarded as body
    When a booking is sent whose body contains a request
    Then its status is 200
    And the target got that one request and its complete body

  Scenario: Trailers of a chunked body are not forwarded
    When a booking is sent in chunks, with an extension and a trailer
    Then its status is 200
    And the target got that one request and its complete body
    And without the trailer

  Scenario: A caller can't have its id or its deadline removed
    When a lookup is sent that lists its id and its deadline as headers of its connection
    Then its status is 200
    And the target got its id and a deadline

  # Guards against a connection that answers nothing more after an offer of
  # another protocol, which an entry may ignore.
  Scenario Outline: A <second> follows a <first> that offers an upgrade, <when>
    When a <first> offers an upgrade, and a <second> follows <when>
    Then both are answered with 200
    And the target got both

    Examples:
      | first   | second  | when             |
      | lookup  | lookup  | after its answer |
      | lookup  | lookup  | at once          |
      | booking | booking | after its answer |
      | booking | booking | at once          |
      | lookup  | booking | at once          |
      | booking in chunks | booking | at once          |
      | booking in chunks | lookup  | after its answer |

  Scenario: CONNECT is rejected
    When a caller sends the bytes of CONNECT
    Then it is rejected with 501 and its connection ends
    And no target was reached
