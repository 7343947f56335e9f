Feature: The leader's lease
  One node makes decisions at a time; the fold refuses those of a replaced
  holder.

  Scenario: the term is counted from the sending of the renewal
    Given a root node that claims the lease
    When its claim is read back 3 seconds after it was sent
    Then it is the leader for 1 more second

  Scenario: another process of the same name is not the leader
    Given a root node that claims the lease
    When its claim is read back 0 seconds after it was sent
    And the process restarts and reads the log
    Then it is not the leader

  Scenario: of two claims on one lease the first counts
    Given two claims that replace the same lease
    Then the first one holds the lease

  Scenario: a replaced holder's records change nothing
    Given a running move and a lease held by kvoty-0
    When kvoty-1 replaces the lease
    And kvoty-0 resumes and appends a share decision, a verdict, a renewal and a checkpoint
    Then the agreed state differs in its offset only

  Scenario: a repeated renewal does not count again
    Given a running move and a lease held by kvoty-0
    When kvoty-0 renews twice and the first renewal is repeated
    Then the lease's newest renewal is still the second

  Scenario: the holder keeps the lease after an outage of the log
    Given a root node that follows a lease held by kvoty-9
    When the log is out for 60 seconds
    Then the node does not claim the lease during the outage
    And it waits a whole term from its next read before it claims

  Scenario: a node that stood still does not claim a lease that is held
    Given a root node that follows a lease held by kvoty-9
    When the node's process is paused for 20 seconds
    Then it waits a whole term from its next read before it claims

  Scenario: a leader that stops hands the lease over
    Given a root node that claims the lease
    When its claim is read back 0 seconds after it was sent
    And the leader's node stops
    Then another root claims the lease without waiting

  Scenario: a leader puts a checkpoint on the log by itself
    Given a root node that claims the lease
    When its claim is read back 0 seconds after it was sent
    And it ticks for 30 seconds with a checkpoint due every 10 seconds
    Then the log holds 3 complete checkpoints of its lease
