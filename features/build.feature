Feature: The build for the platform

  @fixture.folder
  Scenario: A build of the same sources leaves alone what is built
    Given a checkout that is built
    When it is built again
    Then what is built is still the same files
    When a source is changed and it is built again
    Then what is built is what the sources say
