Feature: Taking a data centre or a backend server out, and bringing it back

  @fixture.small
  Scenario: A data centre leaves and returns under load through all entries
    Given 6 callers that send lookups and bookings through all entries
    When brest is taken out for 3 s
    Then brest got no new work later than 1000 ms after it was taken out
    And brest gets work again within 5000 ms
    And every call was answered

  @fixture.small
  Scenario: The entry that owns the targets is frozen at that moment
    Given 6 callers that send lookups and bookings through all entries
    When a freeze of entry-1 begins
    And brest is taken out
    And 6 s have passed
    And a freeze of entry-1 ends
    And 2 s have passed
    Then brest got no new work later than 5000 ms after it was taken out

  @fixture.small_relayed
  Scenario: The entry that owns the targets is cut off from control
    Given 6 callers that send lookups and bookings through all entries
    When entry-1 is cut off from control
    And brest is taken out
    And 7 s have passed
    Then brest got no new work later than 5000 ms after it was taken out

  @fixture.small
  Scenario: The control leader is killed at that moment
    Given 6 callers that send lookups and bookings through all entries
    When a kill ends the control leader
    And brest is taken out
    And 7 s have passed
    Then brest got no new work later than 5000 ms after it was taken out

  @fixture.small
  Scenario: One backend server leaves and returns
    Given 6 callers that send lookups and bookings through all entries
    When a backend server of dossier is taken out for 2 s
    Then it got no new work later than 1000 ms after it was taken out
    And it gets work again within 5000 ms
    And every call was answered

  @fixture.small
  Scenario: A change that leaves a service without a target is refused
    When brest is taken out
    And vannes is taken out
    And rennes is taken out
    Then the change is refused and names "dossier"
    And the remedy names "--force"
    When rennes is taken out by force
    Then the change is accepted

  @fixture.small
  Scenario: Draining backend servers count as no target
    Given the backend servers of creneau outside of brest are draining
    When brest is taken out
    Then the change is refused and names "creneau"

  @fixture.small
  Scenario: An unknown name, or one that is in service, is refused
    When brset is taken out
    Then the change is refused and names "brset"
    When brest is brought back
    Then the change is refused and names "not taken out"

  @fixture.small
  Scenario: Callers get no entries of a data centre that is out of service
    When brest is taken out
    And the change is in force everywhere
    Then no entry names an entry of brest to callers
