Feature: The fault-injecting proxy
  It stands between callers, nodes and targets and injects link failures.

  Scenario: the proxy injects each of its faults
    Given an echo server behind a fault proxy
    Then bytes pass both ways
    And a new connection is refused and the next one works
    And an open connection goes silent while a new one works
    And the bytes of one direction vanish
    And a connection is reset at byte 3 of each direction
    And the answer is cut after the request went through
