Feature: The callers' port stops without interrupting calls in flight

  Scenario: Stopped with calls in flight and unused connections
    Given a callers' port whose calls take 300 ms, with two parts each
    When it is stopped with 5 calls in flight and 3 unused connections
    Then each of the calls got its complete answer and its connection was closed
    And the unused connections were closed before the calls ended
    And no new connection was accepted
    And the port had ended within 1000 ms of the last answer

  Scenario: Stopped with a call that does not end in time
    Given a callers' port whose calls take 60000 ms, with two parts each
    When it is stopped with 1 calls in flight and 1 unused connections
    Then none of the calls got a complete answer
    And the port had ended within 6000 ms of the stop

  Scenario: A caller that does not read its answer
    Given a callers' port that closes connections with answers unread for 300 ms
    When a caller requests 20 MB and reads nothing
    Then within 2000 ms its call has ended with no more than 4 MB written

  # Guards against bytes that are dropped behind an offer of another protocol.
  Scenario: A call follows one that offers an upgrade, at once
    Given a callers' port whose calls take 20 ms, with two parts each
    When a call offers an upgrade, and another one follows at once
    Then both calls are answered
