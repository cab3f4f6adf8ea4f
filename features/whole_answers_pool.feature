Feature: Only complete answers are accepted, each for its own request

  Scenario Outline: A backend server answers "<answer>" to <method>
    Given a backend server whose first answer is "<answer>"
    When a <method> request and then another one are sent to it
    Then the first one ended as "<ended>"
    And the other one got its own answer
    And the server got 2 requests
    And the connection was used <reused> again

    Examples: complete answers
      | answer                    | method | ended  | reused |
      | complete                  | POST   | 200 ok | once   |
      | chunked                   | POST   | 200 ok | once   |
      | interim                   | POST   | 200 ok | once   |
      | early hints               | POST   | 200 ok | once   |
      | no content                | POST   | 204    | once   |
      | not modified              | GET    | 304    | once   |
      | last                      | POST   | 200 ok | never  |
      | surplus                   | POST   | 200 ok | never  |
      | length of a body left out | HEAD   | 200    | once   |

    Examples: incomplete or invalid answers
      | answer                  | method | ended     | reused |
      | truncated in the body   | POST   | broken    | never  |
      | truncated in a chunk    | POST   | broken    | never  |
      | truncated after a chunk | POST   | broken    | never  |
      | truncated in the header | POST   | broken    | never  |
      | without a length        | POST   | broken    | never  |
      | two lengths             | POST   | broken    | never  |
      | length and chunks       | POST   | broken    | never  |
      | switched protocol       | POST   | broken    | never  |
      | no HTTP                 | POST   | broken    | never  |
      | nothing                 | POST   | timed-out | never  |
      | late                    | POST   | timed-out | never  |
