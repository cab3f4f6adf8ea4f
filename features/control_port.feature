Feature: Malformed messages between control VMs and entries end no process

  Scenario: A caller of control sends a message without end
    Given a control VM that leads a group of one
    When a message of 4000 MB is sent to it
    Then it has ended that call after at most 64 MB
    And it still accepts commands

  Scenario Outline: A caller of control sends <what>
    Given a control VM that leads a group of one
    When <what> is sent to it
    Then it still accepts commands

    Examples:
      | what                            |
      | text of another protocol        |
      | random bytes                    |
      | a call without a message        |
      | a truncated message             |
      | a compressed message            |
      | a call of an unknown method     |

  Scenario Outline: Fuzzed <method> messages
    Given a control VM that leads a group of one
    When 100 fuzzed <method> messages with seed 1 are sent to it
    Then it still accepts commands

    Examples:
      | method          |
      | Vote            |
      | Append          |
      | InstallSnapshot |
      | Greet           |
      | Stand           |
      | Join            |
      | Leave           |
      | Follow          |
      | Announce        |
      | Propose         |
      | Read            |
      | ChangeMembers   |

  # Guards against a leader that goes on after a write has failed in a call of
  # another VM: it acknowledges nothing more, and nobody else is elected.
  Scenario Outline: The disk of the leader fails during a call of <method>
    Given a control VM that leads a group of one
    When its disk fails and <method> is sent to it
    Then it ends for its disk within 1000 ms

    Examples:
      | method        |
      | Join          |
      | ChangeMembers |

  Scenario: A disk that stalls is reported
    Given a control VM that leads a group of one
    When a command is proposed while a sync takes 400 ms
    Then it reports a slow disk of 400 ms or more

  Scenario: A command that is sent again before it is committed
    # Guards against a commit for each repetition while the disk is slow.
    Given a control VM that leads a group of one
    When the same command is proposed 5 times at once
    Then all get the same result, and the log has 1 entry more

  Scenario: A backend server leaves, is seen once more and leaves again
    # Guards against an acknowledgement for the order that was undone.
    Given a control VM that leads a group of one
    When a server's leave, a heartbeat and its leave are proposed at once
    Then the server is gone

  # Guards against a control VM that ends while another one, whose disk is full,
  # closes its connections to start again.
  Scenario Outline: The connection to a control VM closes <when>
    Given a control VM that leads a group of one
    And connections to it that close <when>
    When a command is proposed to it
    Then the call ends with an error
    When its rows are polled
    Then the poll ends without an answer

    Examples:
      | when                                  |
      | before the call that opened it begins |
      | while the call waits for it           |

  Scenario Outline: A control VM replies with <what>
    Given a control VM whose replies are <what>
    When a command is proposed to it
    Then the call ends with an error
    When its rows are polled
    Then the poll ends without an answer

    Examples:
      | what                       |
      | text of another protocol   |
      | random bytes               |
      | an ended stream            |
      | a malformed message        |
      | a truncated message        |
      | a compressed message       |
      | an invalid status          |
