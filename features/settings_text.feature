Feature: Settings are JSON with comments

  Scenario: Every text reads as the library for JSON with comments reads it
    Then no text of JSON, quotes and comments reads differently

  Scenario: A large text with comments does not need the slow library
    When a text of 300 services with comments is read
    Then the library for JSON with comments was not called

  Scenario Outline: A name that stands twice in one object is refused
    When the settings text <text> is checked
    Then it is refused with "<message>"

    Examples:
      | text                                                   | message                                      |
      | {"services": {"a": {},\n"b": {},\n"a": {}}}            | services.a twice, on line 1 and on line 3    |
      | {"services": {"a": {"slots": 3,\n"slots": 4}}}         | services.a.slots twice, on line 1 and on line 2 |
      | {services: {a: {}, // 'a': {}\n'a': {}}}               | services.a twice, on line 1 and on line 2    |
      | {"services": {"a": {}}, "services": {}}                | services twice, on line 1 and on line 1      |

  Scenario Outline: What names the same in different objects is none
    When the settings text <text> is checked
    Then it is read

    Examples:
      | text                                                       |
      | {"services": {"a": {"slots": 3}, "b": {"slots": 3}}}       |
      | {"services": {"a": {"slots": 3}} /* "services": {} */}     |

  Scenario: A fault of a check of our own is told in its own words
    When a process is given timings that do not fit each other
    Then it is refused without "Value error"
