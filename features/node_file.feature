Feature: The platform's settings file

  Scenario Outline: A program with <fault> reports the error and exits
    Given a settings file of an entry with <fault>
    When the program <program> starts
    Then it ends with status 1
    And it prints "<said>" and a remedy
    And it logs the same as one line

    Examples:
      | fault                        | program | said                            |
      | no file                      | front   | can't be read                   |
      | no file                      | core    | can't be read                   |
      | no variable                  | front   | CARDAMOMKEEL_NODE_FILE          |
      | half of the text             | front   | truncated                       |
      | half of the text             | core    | truncated                       |
      | other text                   | front   | malformed                       |
      | a list                       | front   | Expected `object`, got `array`  |
      | no ip                        | front   | missing required field `ip`     |
      | a text for the ports         | front   | $.network.port-range            |
      | a number for the name        | front   | $.self.node-name                |
      | too few ports                | front   | holds fewer than the 3 ports      |
      | a port beyond the last       | front   | $.network.port-range            |
      | a name for an address        | front   | 'entry-1' is no address         |
      | a name for a seed            | front   | 'control-1' is no address       |
      | no seed                      | front   | $.network.seeds                 |
      | nowhere to listen            | front   | network.listen.front            |
      | nowhere to listen            | core    | network.listen.control          |
      | no folder                    | core    | self.data-dir                   |
      | a time below zero            | front   | $.timeouts.bounds.grace-s       |
      | a port that is in use        | front   | can't listen at                 |
      | a port between VMs in use    | front   | can't listen at                 |
      | a port of control in use     | core    | can't listen at                 |
      | a port between cores in use  | core    | can't listen at                 |

  Scenario: Unknown fields are ignored
    Given a settings file of an entry with fields that are new
    When the program front starts
    Then it runs

  @fixture.platform
  Scenario: A file that is truncated while the programs run changes nothing
    When the operator sends configuration 1 on 0
    Given a target of dossier and one of keepsake
    Then every entry is ready
    When the settings files are truncated
    Then every program logs "keeping previous settings file"
    And a lookup and a booking are answered by their services
    When the settings files are complete again, with other seeds
    Then every program logs "reloaded settings file"
    And a lookup and a booking are answered by their services

  Scenario: Callers that connect before an entry is loaded wait for it
    Given a settings file of an entry with no fault
    When early listening starts at the address in the file
    And a caller connects there and sends a request
    And the entry is loaded and serves
    Then the caller gets an answer

  Scenario: An entry imports only what it uses
    Then the program front imports none of these
      | library  |
      | pydantic |
      | json5    |
      | httpx    |
      | typer    |
      | uvicorn  |
