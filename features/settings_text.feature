Feature: Settings are JSON with comments

  Scenario: Every text is parsed as json5 parses it
    Then no text of JSON, quotes and comments is parsed differently

  Scenario: A large text with comments is parsed without json5
    When a text of 300 services with comments is parsed
    Then json5 was not called

  Scenario Outline: A duplicate key in one object is refused
    When the settings text <text> is checked
    Then it is refused with "<message>"

    Examples:
      | text                                                   | message                                      |
      | {"services": {"a": {},\n"b": {},\n"a": {}}}            | services.a twice, on line 1 and on line 3    |
      | {"services": {"a": {"slots": 3,\n"slots": 4}}}         | services.a.slots twice, on line 1 and on line 2 |
      | {services: {a: {}, // 'a': {}\n'a': {}}}               | services.a twice, on line 1 and on line 2    |
      | {"services": {"a": {}}, "services": {}}                | services twice, on line 1 and on line 1      |

  Scenario Outline: The same key in different objects is accepted
    When the settings text <text> is checked
    Then it is read

    Examples:
      | text                                                       |
      | {"services": {"a": {"slots": 3}, "b": {"slots": 3}}}       |
      | {"services": {"a": {"slots": 3}} /* "services": {} */}     |

  Scenario: The error of a validator is shown without the prefix of pydantic
    When a process is given timings that contradict each other
    Then it is refused without "Value error"
