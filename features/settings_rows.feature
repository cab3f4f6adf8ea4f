Feature: Entries read one row for each service of the settings text

  Scenario: After any changes the rows match the newest text
    Then in 150 histories of changes, resends and restores the rows match the text

  Scenario: One service is changed and the text around it stays
    Given the text of "examples/ar-gwenn-skouarn.json"
    When slots=4 queue=9 is set of keepsake and idempotent unset of dossier
    Then only these lines of it differ:
      """
      -      "idempotent": true,
      -      "slots": 3,
      +      "slots": 4,
      +      "queue": 9,
      """

  @fixture.folder
  Scenario: The settings of an earlier version are converted to rows
    Given a data folder whose snapshot and log hold settings as one row
    When it is read
    Then the rows match the newest text and a view of the old snapshot

  @fixture.small
  Scenario: Entries and control VMs that restart hold the newest rows
    When 60 changes of one service each are accepted and entry-2 is killed meanwhile
    Then every entry holds the services of the accepted text within 10 s
    When all control VMs are killed and started
    Then the accepted text is shown within 10 s
    When the change id of the last change is used for another one
    Then it is refused, and the message says what the id was used for
