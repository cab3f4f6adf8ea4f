Feature: Stand-ins detect overload by the clock, even when they run late

  Scenario: A stand-in that was frozen doesn't count requests that are due
    Given a stand-in with one slot whose requests take 1500 ms
    When it is frozen during a request and receives another one before it is resumed
    Then it counts no overrun

  Scenario: A stand-in counts requests that are not due yet
    Given a stand-in with one slot whose requests take 500 ms
    When it gets two requests at the same time
    Then it counts an overrun and lists what ran
