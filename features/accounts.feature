Feature: Requests carry keys of client accounts

  Background:
    Given an entry in touch with routes, and accounts "one" and "two"
    And 2 targets

  Scenario Outline: An Authorization of <value> is answered <status>
    When a lookup is sent with Authorization <value>
    Then its status is <status>
    And targets ran it at most <most> times

    Examples:
      | value                     | status | most |
      | "Bearer key-of-one"       | 200    | 1    |
      | "bEARER    key-of-one  "  | 200    | 1    |
      | "Bearer key-of-nobody"    | 401    | 0    |
      | "Bearer KEY-OF-ONE"       | 401    | 0    |
      | "Bearer"                  | 401    | 0    |
      | "Bearer key-of-one x"     | 401    | 0    |
      | "Bearer\tkey-of-one"      | 401    | 0    |
      | "Basic key-of-one"        | 401    | 0    |
      | "key-of-one"              | 401    | 0    |
      | twice "Bearer key-of-one" | 401    | 0    |
      | of 5000 bytes             | 401    | 0    |
      | none                      | 401    | 0    |

  Scenario Outline: Targets get the account's name in place of the key, also when <behaviour>
    Given the next request at any target ends with "<behaviour>"
    When a lookup with a key and headers of an account of its own is sent
    Then its status is 200
    And targets received the account "one", <times> times, and no key

    Examples:
      | behaviour | times |
      | ok        | 1     |
      | reset     | 2     |
      | hang      | 2     |

  Scenario: A route without keys passes on neither key nor account of a caller
    When a request to the route without keys is sent with an unknown key
    Then its status is 200
    And targets received no account, and no key

  Scenario: Without accounts, keys are the targets' concern
    Given the accounts are taken out of the routes
    When a lookup with a key and headers of an account of its own is sent
    Then its status is 200
    And targets received its headers as they were

  Scenario Outline: A key that is withdrawn while <what> is refused
    When a key is withdrawn while <what>
    Then the last answer has status 401
    And targets did not run the last request

    Examples:
      | what                       |
      | a body arrives             |
      | a request waits for a slot |
      | a request is pipelined     |

  Scenario Outline: An entry that <state> answers an unknown key with 503
    Given an entry that <state>
    When a lookup is sent with Authorization "Bearer key-of-nobody"
    Then its status is 503

    Examples:
      | state                      |
      | is out of touch            |
      | knows no routes            |

  Scenario Outline: Accounts with <fault> are refused
    Then accounts with <fault> are refused, because "<reason>"

    Examples:
      | fault               | reason                  |
      | one key             | share a key             |
      | one name            | is listed twice         |
      | a rate below 0      | rate_per_s              |
      | a burst of text     | burst                   |
      | a line in the name  | can't be named          |
      | a key in the clear  | key_digests             |

  @fixture.routed
  Scenario: Operators add, list and withdraw keys without showing them
    Given routes in force with comments and an account without keys
    When a new key is added to the account from a file
    Then the account is listed with 1 key, and the comments are in force
    And a lookup with the key at each entry gets no 401
    When that key is withdrawn
    Then a lookup with the key at each entry gets a 401
    And the account is listed with 0 key, and the comments are in force

  @fixture.platform
  Scenario: No output of the programs holds a key
    When keys are used, refused and withdrawn on the platform
    Then no output of the programs holds a key
