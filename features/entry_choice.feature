Feature: The entries that callers are given

  Scenario: Callers get the entries of their own data centre
    Given 3 entries in each of the data centres brest, rennes and vannes
    Then callers from brest get the entries of brest

  Scenario: Callers of a data centre out of service get entries in service
    Given 3 entries in each of the data centres brest, rennes and vannes
    When the data centre brest is out of service
    Then callers from brest get the entries of rennes and vannes
    And callers from rennes get the entries of rennes

  Scenario: Entries in a data centre out of service are better than none
    Given 3 entries in each of the data centres brest
    When the data centre brest is out of service
    Then callers from brest get the entries of brest

  Scenario: Entries that leave or are unresponsive are not given
    Given 3 entries in each of the data centres brest, rennes and vannes
    When the entry brest-0 is leaving and brest-1 is unresponsive
    Then callers from brest get every entry but brest-0 and brest-1

  Scenario: The load of many callers without a data centre is spread
    # A caller reads 64 addresses. The first 64 of a sorted list would leave
    # out the same entries for every data centre.
    Given 40 entries in each of the data centres brest, rennes and vannes
    When the data centre brest is out of service
    Then callers of 20 other data centres get every entry in service
    And each caller gets 64 addresses
