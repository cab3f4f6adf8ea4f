Feature: A leader that stops hands over to another member

  Scenario Outline: Another member becomes leader soon, also if calls are lost
    Given a group of 3 control VMs without processes
    When its leader hands over, <case>
    Then another member becomes leader sooner than after an election timeout
    And no command is lost

    Examples:
      | case                                      |
      | and nothing goes wrong                    |
      | and the first request to campaign is lost |
      | and the first votes are lost              |
      | while commands wait to be written         |
