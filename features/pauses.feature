Feature: A machine that is suspended and wakes
  # CLOCK_MONOTONIC stops while a machine is suspended, CLOCK_BOOTTIME runs
  # on. The steps replace `time.clock_gettime` to simulate a suspension.

  Scenario: the node's time goes on
    Given an event loop on a machine that can be suspended
    When a timer of 2 seconds is set and the machine is suspended for 5 seconds
    Then the timer is called at once
    And the clock of the node's decisions has advanced by 5 seconds

  Scenario: a leader that was suspended past its term decides nothing
    Given a leader on a machine that can be suspended
    When it is suspended for 6 seconds
    Then it is not the leader when it wakes

  Scenario: a call that waited for a slot is refused, not started late
    Given an inbound proxy on a machine that can be suspended
    And its target runs one call and another one waits
    When it is suspended for 5 seconds
    Then the waiting call is answered not run
    And the running call is answered unknown
    And the target got one request

  Scenario: a call that lay in a socket meanwhile is refused
    Given an inbound proxy on a machine that can be suspended
    When a call that was sent 5 seconds ago arrives with 500 ms left
    Then it is answered not run for "deadline passed"
    And the target got no request
