@fixture.small_relayed
Feature: One owner per target, and its slots, whatever happens to the owner

  Scenario Outline: No target is overrun when its owner is <fault>
    Given every target of creneau is warm
    When long requests fill every slot of creneau
    And <faults> owners of creneau are <fault>
    And creneau is under load until every target has another owner
    And the faults end
    And creneau is under load for 3 s
    Then no backend server ran more requests than its limit
    And every target of creneau answers again within 20 s

    Examples:
      | fault                 | faults |
      | killed                | 1      |
      | frozen                | 1      |
      | cut off from control  | 1      |
      | frozen, the next one cut off from control | 2 |

  Scenario: An owner that is cut off gives no work once its lease is over
    Given every target of creneau is warm
    And every owner has just sent a request with a long deadline
    When 1 owners of creneau are cut off from control
    And creneau is under load until every target has another owner
    Then the lost targets received no requests after that
    When the faults end
    Then every target of creneau answers again within 20 s

  Scenario: No target is overrun while entries restart one after another
    Given every target of creneau is warm
    When every entry is restarted in turn while creneau is under load
    Then no backend server ran more requests than its limit
    And every target of creneau answers again within 20 s
