Feature: An answer that ends before its end is no answer

  # Guards against an end of the connection that completes an answer whose head,
  # length or last chunk says otherwise (RFC 9112, section 8).
  Scenario Outline: <answer> is cut at each byte for <client>
    Given a backend server that answers <method> with <answer>
    When <client> is answered with each part of it, on <connection>, that ends with a <end>
    Then only the whole answer is accepted

    Examples: a gateway's connections
      | client    | method | answer                   | connection             | end   |
      | a gateway | POST   | a length                 | a new connection       | close |
      | a gateway | POST   | a length                 | a new connection       | reset |
      | a gateway | POST   | a length                 | a used connection      | close |
      | a gateway | POST   | a length                 | a used connection      | reset |
      | a gateway | POST   | chunks and a trailer     | a new connection       | close |
      | a gateway | POST   | chunks and a trailer     | a used connection      | reset |
      | a gateway | POST   | an interim answer before | a new connection       | close |
      | a gateway | POST   | an interim answer before | a used connection      | close |
      | a gateway | POST   | HTTP/1.0 with a length   | a new connection       | close |
      | a gateway | POST   | an empty body            | a used connection      | close |
      | a gateway | POST   | no content               | a new connection       | close |
      | a gateway | HEAD   | a length                 | a new connection       | close |
      | a gateway | HEAD   | a length                 | a used connection      | reset |
      | a gateway | POST   | chunks, one a byte       | a new connection       | close |

    Examples: an entry's connections
      | client    | method | answer                   | connection             | end   |
      | an entry  | POST   | a length                 | a new connection       | close |
      | an entry  | POST   | a length                 | a new connection       | reset |
      | an entry  | POST   | a length                 | a used connection      | close |
      | an entry  | POST   | a length                 | a used connection      | reset |
      | an entry  | POST   | chunks and a trailer     | a new connection       | close |
      | an entry  | POST   | chunks and a trailer     | a used connection      | reset |
      | an entry  | POST   | an interim answer before | a new connection       | close |
      | an entry  | POST   | HTTP/1.0 with a length   | a new connection       | close |
      | an entry  | POST   | an empty body            | a used connection      | close |
      | an entry  | POST   | no content               | a new connection       | close |
      | an entry  | HEAD   | a length                 | a new connection       | close |
      | an entry  | HEAD   | a length                 | a used connection      | reset |
      | an entry  | POST   | chunks, one a byte       | a new connection       | close |

  # An answer without a length ends with the connection, but for one that is
  # reset. An entry can't tell it from a cut, and accepts none.
  Scenario Outline: <answer> ends with the connection for <client>
    Given a backend server that answers POST with <answer>
    When <client> is answered with each part of it, on a new connection, that ends with a <end>
    Then of the parts <accepted> is accepted

    Examples:
      | client    | answer                | end   | accepted                 |
      | a gateway | no length             | close | what has the whole head  |
      | a gateway | no length             | reset | nothing                  |
      | a gateway | HTTP/1.0, no length   | close | what has the whole head  |
      | a gateway | an unknown coding     | close | nothing                  |
      | a gateway | a stray one before    | close | only the whole answer    |
      | an entry  | no length             | close | nothing                  |

  Scenario Outline: A backend server cuts its answers to <kind> <where>
    Given an entry of the platform that uses only a server that cuts its answers <where>
    When 3 <kind> are sent on one connection at once
    Then none of them is answered with success, and each gets a whole answer or the end of its connection

    Examples:
      | kind     | where                  |
      | lookups  | in the status line     |
      | lookups  | in a header            |
      | lookups  | before the blank line  |
      | lookups  | in the body            |
      | lookups  | in the last chunk      |
      | bookings | in the status line     |
      | bookings | in a header            |
      | bookings | before the blank line  |
      | bookings | in the body            |
      | bookings | in the last chunk      |

  @fixture.small
  Scenario Outline: Backend servers cut their answers to the product's entries <where>
    Given the backend servers take 5 ms
    And the backend servers cut their answers <where>
    When 6 lookups of dossier are sent one after the other
    Then none of them got the outcome answered

    Examples:
      | where                 |
      | in a header           |
      | before the blank line |
      | in the last chunk     |
