Feature: A leader that stops has another member lead

  Scenario Outline: Another member leads soon, whatever the first request meets
    Given a group of 3 control VMs without processes
    When its leader hands over, <case>
    Then another member leads sooner than without being asked
    And no command is lost

    Examples:
      | case                                      |
      | and nothing goes wrong                    |
      | and the first request to lead is lost     |
      | and the first votes are lost              |
      | while commands wait to be written         |
