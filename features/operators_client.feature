Feature: The command line copes with processes that break off

  Scenario: A process that ends sends an empty answer
    Given a process that answers every call with status 503 and nothing else
    When the command line calls that process
    Then it says that the process gives no answer, and what to do
