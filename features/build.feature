Feature: The build for the platform

  @fixture.folder
  Scenario: A rebuild of unchanged sources leaves the built files unchanged
    Given a checkout that is built
    When it is built again
    Then the built files are unchanged
    When a source is changed and it is built again
    Then the built files match the sources
