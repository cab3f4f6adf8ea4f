Feature: The command line handles processes that stop during a call

  Scenario: A stopping process sends an answer without a body
    Given a process that answers every call with status 503 and no body
    When the command line calls that process
    Then the error names the process and has a remedy
