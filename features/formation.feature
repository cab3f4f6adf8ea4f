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

  # Guards against greetings that are answered, on a connection that stays open,
  # with what the other member said before it started.
  Scenario: Another member starts while this one waits, and the third is lost
    Given a control VM that has formed a group of 3
    And a third member that is lost, and another that is formed, but not yet running, then running in term 2
    Then this one starts within 2000 ms

  # Guards against a member that lost its disk before the group had formed, and
  # is taken for a sign that it has.
  Scenario: A member comes back with a new id before the group has formed
    Given a control VM that has not formed a group of 3
    And another member that is not running, and a third that waits to join under a new id
    Then this one forms the group within 2000 ms

  Scenario: Two members come back with new ids, so no majority of the first is left
    Given a control VM that has not formed a group of 3
    And another member that waits to join under a new id, and a third that does so too
    Then this one does not start within 2000 ms

  Scenario: A member has a new id, and another one can't be reached
    Given a control VM that has not formed a group of 3
    And another member that is waiting to join under a new id, and a third that is lost
    Then this one does not start within 2000 ms

  Scenario: A member has a new id, and another one runs
    Given a control VM that has not formed a group of 3
    And another member that is running in term 2, and a third that waits to join under a new id
    Then this one joins under a new id within 2000 ms
