Feature: Routes and configurations are checked before they are sent

  Scenario Outline: Valid routes that can't be meant are found
    When routes are checked with <change>
    Then the check ends with status 2
    And it finds "<text>" at line <line>

    Examples:
      | change                | text                        | line |
      | a host with a scheme  | no caller can send its host | 4    |
      | a prefix in Breton    | visible ASCII characters    | 5    |
      | weights of 0          | reaches no service          | 6    |
      | a late objective      | objective above its timeout | 10   |
      | a service without use | no route sends requests to  | 15   |
      | no request while cold | no request in its cold      | 14   |
      | an account without a key | has no key               | 18   |
      | a burst without a rate | which is no limit          | 18   |
      | too low a rate        | less than one request       | 18   |
      | accounts without use  | no route needs the keys     | 17   |
      | a header below a key  | is below the 38 bytes       | 20   |
      | slow headers          | may take longer than        | 20   |

  Scenario: Routes without a finding are well-formed
    When routes are checked with no change
    Then the check ends with status 0
    And it prints "is well-formed"

  Scenario: The line and column of an invalid value are printed
    When routes are checked with too few attempts
    Then the check ends with status 1
    And it prints "routes.json:9:19: error:"

  Scenario: What differs from another version is listed
    When routes are compared with the same ones
    Then it prints "nothing differs from the routes in force"
    When routes are compared with others
    Then it prints "removed: route desk.example/confirm/"
    And it prints "added: service dossier"
    And it prints "changed: route desk.example/look/"
    And it prints "attempts: 1 -> 2"
    And it prints "changed: account clinic"

  Scenario: Programs read the report as JSON
    When routes are checked with too low a rate, as JSON
    Then the check ends with status 2
    And the JSON has a warning at line 18, column 5

  Scenario: A configuration of the platform is checked in the same way
    When a configuration with a finding of each kind is checked
    Then the check ends with status 2
    And it finds "reaches no service" at line 1
    And it finds "has no key" at line 1
    And it finds "no route sends requests to" at line 1
    And it finds "may take longer than" at line 1
    And it prints "changed: limits"

  Scenario: An invalid configuration of the platform is refused as by the server
    When a configuration of no version is checked
    Then the check ends with status 1
    And it prints "the configuration can't be read"

  @fixture.routed
  Scenario: Routes are compared with those in force
    When routes are compared with those in force before there are any
    Then it prints "added: route desk.example/look/"
    When the routes of "examples/routes.json" are applied on 0
    And the routes of "examples/routes.json" are compared with those in force
    Then it prints "nothing differs from the routes in force"
