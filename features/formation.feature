Feature: The first control VMs form a group

  Scenario Outline: One member is lost while this one is about to start
    Given a control VM that has formed a group of 3
    And another member that is <state>, and a third that is lost
    Then this one <starts> within 2000 ms

    Examples:
      | state                         | starts         |
      | running in term 2             | starts         |
      | running under a new id        | starts         |
      | formed, but not yet running   | does not start |

  Scenario: A control VM that has not formed joins a group that runs
    Given a control VM that has not formed a group of 3
    And another member that is running in term 2, and a third that is lost
    Then this one joins under a new id within 2000 ms
