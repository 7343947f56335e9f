Feature: Moves of traffic among real processes
  The two root nodes, of which one leads, have targets of prodej; the
  traffic of kvoty moves to v2.

  Background:
    Given a mesh whose callers use two routes of kvoty

  Scenario: a version that is slow on one route is taken back
    When v2 answers /kvoty/lake 300 ms later than before
    And kvoty moves to v2 over 15 seconds
    Then kvoty's move ends as rolled-back within 60 seconds
    And the verdict says that v2 "was slow on"
    And only v1 runs calls

  Scenario: a bad version gets no calls while the log is out
    When kvoty moves to v2 over 20 seconds
    And v2 has run some calls
    And a log outage starts
    And v2 fails 7 of 10 calls
    Then only v1 runs calls, despite the log outage
    When the log outage ends
    Then kvoty's move ends as rolled-back within 60 seconds
    And the verdict says that v2 "failed"

  Scenario: a paused leader is replaced and its decisions are refused
    When kvoty moves to v2 over 8 seconds
    And v2 has run some calls
    And the leader is frozen until another one leads, then resumed
    Then kvoty's move ends as done within 60 seconds
    And every node logs rollout-step, rollout-done
    And only v2 runs calls
    And each accepted step on the log has the next number and names the lease then held
