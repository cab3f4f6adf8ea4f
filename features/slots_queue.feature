Feature: Requests that wait for a slot

  Scenario: Waiting requests get slots, and never more run than there are slots
    Given an owner of a target with 3 slots and a queue for 300 requests
    When 200 requests of 2 ms each arrive at once
    Then all 200 were answered and at most 3 ran at a time
    And no request was woken without a slot

  Scenario: A slot that is held after a timeout expires
    Given an owner of a target with 1 slots and a queue for 300 requests
    When a request times out after 100 ms while another one waits
    Then the waiting request is answered within 1000 ms
    And at most 1 request ran at a time, including the timed-out one

  Scenario: A request whose deadline ends before a held slot expires is refused at once
    Given an owner of a target with 1 slots and a queue for 300 requests
    # The slot was acquired 100 ms earlier and is held for 520 ms in total.
    When a request that may run for 400 ms is abandoned and one with a deadline of 400 ms arrives right after it
    Then it ends as not run within 85 ms

  Scenario: A slot that expires while the process is paused is not lost
    When the connection of a request breaks while another one with a deadline of 500 ms waits, and the process is paused after any of 40 readings of the clock
    Then the waiting request is answered each time, with at least 10 pauses

  Scenario: A request that is cancelled while it waits keeps no slot
    Given an owner of a target with 1 slots and a queue for 300 requests
    When 20 requests wait and every second one is cancelled
    Then the other 10 are answered

  Scenario: A request that can't meet its deadline is refused at once
    Given an owner of a target with 3 slots and a queue for 300 requests
    And its requests take 50 ms
    When 30 requests wait and one with a deadline of 100 ms arrives
    Then it ends as not run in less than 50 ms and its error reports the wait

  Scenario: A full queue refuses at once
    Given an owner of a target with 3 slots and a queue for 5 requests
    When 20 requests of 50 ms each arrive at once
    Then 8 were answered and the others ended as not run

  Scenario: A request is not sent if the lease expires while its connection opens
    Given an owner of a target with 1 slots and a queue for 300 requests
    When the lease expires while a connection opens for a request
    Then nothing was sent and the request ended as not run

  Scenario: The time of a request counts from its first byte
    Given an owner of a target with 1 slots and a queue for 300 requests
    When a request of 1000 ms waits 300 ms for its connection
    Then its slot counts as taken for 1000 ms from the first byte on

  Scenario: Idempotent requests with late answers are hedged, within the budget
    Given an owner of 3 targets that hedges a share of 0.05
    When 400 requests are sent, every 50th attempt of which is slow
    Then fewer than 4 of them took as long as a slow attempt
    And at least 4 attempts that lost were cancelled
    And all were answered, with at most 30 attempts more than requests

  Scenario: Without a hedging share no request is sent twice
    Given an owner of 3 targets that hedges a share of 0
    When 400 requests are sent, every 50th attempt of which is slow
    Then at least 8 of them took as long as a slow attempt
    And all were answered, with at most 0 attempts more than requests

  Scenario: Overload with short deadlines does not reset the limit of a target
    Given an owner of a target with 3 slots and a queue for 300 requests
    And its requests take 40 ms
    When 24 callers with a deadline of 150 ms keep it busy for 1000 ms
    Then it keeps its 3 slots and hardly any request that was sent timed out

  Scenario: A small share allows few second attempts
    Given an owner of 3 targets that hedges a share of 0.01
    When 1000 requests are sent, every 25th attempt of which is slow
    Then all were answered, with at most 21 attempts more than requests

  Scenario: A request that every usable target has failed does not wait
    Given an owner of 2 targets
    When a request that the first target has failed waits and the second drains
    Then it ends as not run within 200 ms
    Given an owner of 2 targets
    When a request that both targets have failed arrives
    Then it ends as not run within 50 ms
