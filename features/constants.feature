Feature: Every numeric constant has a name and a unit or a comment

  Scenario: Constants that are numbers name a unit or have a comment
    Given the modules of the programs
    Then each constant that is a number names its unit or has a comment

  Scenario: No time or limit is written as a number where it is used
    Given the modules of the programs
    Then no argument that is a time or a limit is given as a bare number
