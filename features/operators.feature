Feature: Operators' commands and their output

  Scenario Outline: Settings are checked, and errors have a place and a remedy
    When "examples/<file>" is checked as settings of <program>
    Then it prints the text of "examples/expected/<expected>" and ends with status <status>

    Examples:
      | file                          | program  | expected               | status |
      | ar-gwenn-skouarn.json         | services | ar-gwenn-skouarn.txt   | 0      |
      | cart-commons.json             | services | cart-commons.txt       | 0      |
      | entry.json                    | entry    | entry.txt              | 0      |
      | control.json                  | control  | control.txt            | 0      |
      | wrong/syntax.json             | services | syntax.txt             | 1      |
      | wrong/cycle.json              | services | cycle.txt              | 1      |
      | wrong/unknown-setting.json    | services | unknown-setting.txt    | 1      |
      | wrong/unknown-dependency.json | services | unknown-dependency.txt | 1      |
      | wrong/deadlines.json          | services | deadlines.txt          | 1      |
      | wrong/timings.json            | entry    | timings.txt            | 1      |
      | gateway.json                  | gateway  | gateway.txt            | 0      |
      | wrong/gateway.json            | gateway  | gateway-times.txt      | 1      |

  Scenario Outline: Conflicting timings are refused and both are named
    When <setting> is <value> in the timings
    Then they are refused and "<setting>" and "<other>" are named

    Examples:
      | setting            | value | other              |
      | heartbeat_ms       | 400   | election_least_ms  |
      | election_least_ms  | 1300  | election_most_ms   |
      | poll_wait_ms       | 1600  | lease_ms           |
      | poll_timeout_ms    | 900   | lease_ms           |
      | lease_ms           | 2000  | election_most_ms   |

  Scenario: The page of settings matches the models
    Then docs/settings.md is what settings-page prints

  @fixture.small
  Scenario: An operator lists, explains and dumps, and no secret is shown
    When the command "set dossier queue=9 --base-revision 1" is run
    Then it prints "revision" and ends with status 0
    When the command "unset dossier queue --base-revision 1" is run
    Then it prints "came first" and ends with status 1
    When the command "unset dossier queue --base-revision 2 --wait" is run
    Then it prints "in_force" and ends with status 0
    When the command "set dossier queue=many --base-revision 3" is run
    Then it prints "no setting with a value" and ends with status 1
    When the command "set dossier queue=-1 --base-revision 3" is run
    Then it prints "services.dossier.queue" and ends with status 1
    When the command "entries" is run
    Then it prints "brest" and ends with status 0
    When the command "targets" is run
    Then it prints "entry-1" and ends with status 0
    When a lookup with request id "why-1" is sent
    And the command "explain --request why-1" is run at the entries
    Then it prints "answered" and ends with status 0
    When the command "explain --request never" is run at the entries
    Then it prints "remembers no request" and ends with status 1
    When the backend servers of dossier in brest drain
    And the command "explain --target" is run for one of them
    Then it prints "it announced that it drains or leaves" and ends with status 0
    When the command "take-out --data-centre rennes --wait" is run
    Then it prints "took_ms" and ends with status 0
    When the command "take-out --data-centre rnnes" is run
    Then it prints "rnnes" and ends with status 1
    When the command "show" is run with a wrong secret
    Then it prints "secret" and ends with status 1
    And no dump, metric or log contains the secret
    And the metrics of entry-1 include those needed on call
