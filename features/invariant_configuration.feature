Feature: Configuration under failure
  Checks the invariants never-older, no-dangling-route, never-in-part and
  in-force-everywhere.

  Scenario: a herd of nodes is killed and comes back, twice, amid releases
    Given a trial mesh of 8 nodes in 2 data centres
    When a release adds 3 routes at once
    And the nodes of lipno are killed together
    And a release adds 3 routes at once
    And the killed nodes start again
    And the nodes of lipno are killed together
    And the killed nodes start again
    And a release adds 3 routes at once
    Then the newest release is in force everywhere within 10 seconds
    And the time line exercises and satisfies never-older, no-dangling-route, never-in-part, in-force-everywhere

  Scenario: root relays are killed and frozen while releases go on
    Given a trial mesh of 6 nodes in 2 data centres
    When a release adds 3 routes at once
    And the root relay of lipno is killed
    And a release adds 3 routes at once
    And the root relay of svet is frozen for 3 seconds
    And a release adds 3 routes at once
    Then the newest release is in force everywhere within 20 seconds
    And the time line exercises and satisfies never-older, no-dangling-route, never-in-part, in-force-everywhere

  Scenario: the log is slow, loses answers and has an outage
    Given a trial mesh of 4 nodes in 2 data centres
    When the log answers after 300 ms
    And a release adds 3 routes at once
    And the log stores appends without answering
    And a release is published again after its answer may have been lost
    And the platform log is out for 4 seconds
    And a release adds 3 routes at once
    Then the newest release is in force everywhere within 10 seconds
    And the time line exercises and satisfies never-older, no-dangling-route, never-in-part, in-force-everywhere

  Scenario: two operators race on one item and land both on others
    Given a trial mesh of 2 nodes in 1 data centres
    When 5 operators publish different shares of one service at the same time
    Then each is accepted or refused with the item named, and both occur
    When 5 operators publish a route each at the same time
    Then all of them are accepted
    And the newest release is in force everywhere within 10 seconds
    And the time line exercises and satisfies never-older, never-in-part, in-force-everywhere

  Scenario: the leader is frozen past its lease and wakes up
    Given a trial mesh of 4 nodes in 2 data centres
    And callers send 60 requests a second for 14 seconds
    When a release moves the traffic to v2 within 8 seconds
    And the leader is frozen for 6 seconds
    Then the move ends as done within 30 seconds
    And another node has claimed the lease
    And the time line exercises and satisfies never-older, never-in-part, own-whole-answer

  Scenario: a release with a dangling route is refused by every node
    Given a trial mesh of 2 nodes in 1 data centres
    When a record with a route to an unknown service is appended unchecked
    And a release adds 3 routes at once
    Then the newest release is in force everywhere within 10 seconds
    And the time line exercises and satisfies no-dangling-route, never-in-part
