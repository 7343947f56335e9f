Feature: Checkpoints on the log
  A checkpoint keeps the agreed state when older records have expired.

  Scenario: a fresh node starts from the newest checkpoint and the tail
    Given a leader that has written 2 checkpoints to a log of 40 releases
    When all records before the last checkpoint expire
    Then a fresh reader has the leader's state

  Scenario: nothing is in force before the checkpoint is whole
    Given a leader that has written 1 checkpoints to a log of 40 releases
    When all records before the last checkpoint expire
    Then a fresh node that has read all but the last chunk has no configuration and is not caught up
    And after the last chunk it has the leader's configuration

  Scenario Outline: a checkpoint that cannot be trusted is not applied
    Given a leader that has written 1 checkpoints to a log of 40 releases
    When all records before the last checkpoint expire
    And the checkpoint <fault>
    Then a fresh reader waits with the empty state

    Examples:
      | fault                          |
      | lacks a chunk                  |
      | has a chunk with a flipped bit |
      | has a wrong digest             |
      | is of a replaced lease         |
      | says it holds 2000 chunks      |

  Scenario: a damaged copy of a chunk does no harm beside a good one
    Given a leader that has written 1 checkpoints to a log of 40 releases
    When all records before the last checkpoint expire
    And a damaged copy of the first chunk is on the log before the last chunk
    Then a fresh reader has the leader's state

  Scenario: a reader that fell behind keeps its state until the checkpoint
    Given a leader that has written 1 checkpoints to a log of 40 releases
    And a reader that stopped after 10 records
    When all records before the last checkpoint expire
    Then the reader keeps its state until the last chunk and its offset never falls
    And it has the leader's state in the end

  Scenario: a node with another state says so
    Given a leader that has written 1 checkpoints to a log of 40 releases
    When a node whose state differs reads the chunks
    Then it reports a checkpoint mismatch and keeps its state

  Scenario: a leader replaced half way leaves the checkpoint to the next
    Given a leader that is replaced after the first chunk of a checkpoint
    Then the next leader's checkpoint is complete and a fresh reader has its state

  Scenario Outline: nodes that find no checkpoint begin anew
    Given a log without a checkpoint whose oldest <expired> of 3 records have expired
    When 3 fresh nodes read it for 8 seconds and append what they decide
    Then all are caught up with the same state and one of them leads within 15 seconds

    Examples:
      | expired |
      | 1       |
      | 3       |

  Scenario: a node that can write a checkpoint is given the time to
    Given a log without a checkpoint whose oldest 1 of 3 records have expired
    When a fresh node reads a lease renewal each 2 seconds for 30 seconds
    Then it has not reset the log

  Scenario: readers with and without a state agree after a reset
    Given a leader that has written 1 checkpoints to a log of 4 releases
    When a reset is appended after one that was overtaken
    Then only the one at its own place counts, for a reader of any start

  Scenario: a node whose state was reset reads its source again
    Given a leader that has written 1 checkpoints to a log of 4 releases
    When a reset is appended after one that was overtaken
    Then a node that held the state reads the log and the source again

  Scenario: new processes start from the checkpoint alone
    Given a mesh of 2 nodes that write a checkpoint every second
    When a release routes /kvoty to version v1 of kvoty
    And a checkpoint contains it and the records before have expired
    And all nodes are killed and a node kvoty-9 is started
    Then it is in force on all nodes within 20 seconds
