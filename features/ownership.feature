@fixture.small_relayed
Feature: One owner per target, and its slots, whatever happens to the owner

  Scenario Outline: No target is overrun when its owner is <fault>
    Given every target of dossier is warm
    When long requests fill every slot of dossier
    And <faults> owners of dossier are <fault>
    And dossier is under load until every target has another owner
    And the faults end
    And dossier is under load for 3 s
    Then no backend server ran more than it can bear
    And every target of dossier answers again within 20 s

    Examples:
      | fault                 | faults |
      | killed                | 1      |
      | frozen                | 1      |
      | cut off from control  | 1      |
      | frozen, the next one cut off from control | 2 |

  Scenario: No target is overrun while entries restart one after another
    Given every target of dossier is warm
    When every entry is restarted in turn while dossier is under load
    Then no backend server ran more than it can bear
    And every target of dossier answers again within 20 s
