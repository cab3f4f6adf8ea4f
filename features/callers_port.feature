Feature: The callers' port stops without cutting what is under way

  Scenario: Stopped with calls under way and unused connections
    Given a callers' port whose calls take 300 ms, with two parts each
    When it is stopped with 5 calls under way and 3 unused connections
    Then each of the calls got its whole answer and the end of its connection
    And the unused connections were closed before the calls ended
    And no new connection was taken
    And the port had ended within 1000 ms of the last answer

  Scenario: Stopped with a call that goes on and on
    Given a callers' port whose calls take 60000 ms, with two parts each
    When it is stopped with 1 calls under way and 1 unused connections
    Then none of the calls got a whole answer
    And the port had ended within 6000 ms of the stop

  Scenario: A caller that does not read its answer
    Given a callers' port that closes what is unread for 300 ms
    When a caller asks for 20 MB and reads nothing
    Then within 2000 ms its call has ended with no more than 4 MB written
