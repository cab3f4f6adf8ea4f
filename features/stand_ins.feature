Feature: Stand-ins judge an overrun by the clock, however late they are themselves

  Scenario: A stand-in that was not running counts no work that is over
    Given a stand-in with one slot whose work takes 1500 ms
    When it is frozen in the middle of a request, and gets another one before it goes on
    Then it counts no overrun

  Scenario: A stand-in counts work that is not over yet
    Given a stand-in with one slot whose work takes 500 ms
    When it gets two requests at the same time
    Then it counts an overrun, and tells what ran
