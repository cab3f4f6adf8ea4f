Feature: An answer is whole or it is none, and belongs to its own request

  Scenario Outline: A backend server answers "<answer>" to <method>
    Given a backend server whose first answer is "<answer>"
    When a <method> request and then another one are sent to it
    Then the first one ended as "<ended>"
    And the other one got its own answer
    And the server got 2 requests

    Examples: whole answers
      | answer                    | method | ended  |
      | whole                     | POST   | 200 ok |
      | chunked                   | POST   | 200 ok |
      | interim                   | POST   | 200 ok |
      | early hints               | POST   | 200 ok |
      | no content                | POST   | 204    |
      | not modified              | GET    | 304    |
      | last                      | POST   | 200 ok |
      | surplus                   | POST   | 200 ok |
      | length of a body left out | HEAD   | 200    |

    Examples: no whole answers
      | answer            | method | ended     |
      | cut in the body   | POST   | broken    |
      | cut in a chunk    | POST   | broken    |
      | cut after a chunk | POST   | broken    |
      | cut in the header | POST   | broken    |
      | without a length  | POST   | broken    |
      | two lengths       | POST   | broken    |
      | length and chunks | POST   | broken    |
      | switched protocol | POST   | broken    |
      | no HTTP           | POST   | broken    |
      | nothing           | POST   | timed-out |
      | late              | POST   | timed-out |
