Feature: Agreement in a store that comes back from older copies
  Nodes without a network on one log; the leader steps a rollout each second.
  After each tick it is checked that no step is run twice or backwards, no
  blocked version has a share, and no configuration is older than before.

  Scenario Outline: a rollout goes on after <what>
    Given 4 nodes with a running rollout
    When <what>
    Then all nodes agree, one leads, and the rollout has gone on

    Examples:
      | what                                          |
      | the store loses 0 s                           |
      | the store loses 1 s                           |
      | the store loses 20 s                          |
      | the store loses 1 s and then 2 s              |
      | the leader ends and the store loses 1 s       |
      | a step is being stored as the store loses 2 s |
      | the store loses 5 s, seen late by two nodes   |
      | the store loses 3 s before a root has read it |

  Scenario Outline: a verdict outlives the loss of <seconds> s
    # Guards against a version that is served again after its rollback.
    Given 4 nodes with a running rollout
    When the rollout is <ended> and the store loses <seconds> s
    Then all nodes still hold that it is <ended>

    Examples:
      | ended       | seconds |
      | rolled back | 1       |
      | rolled back | 20      |
      | done        | 20      |

  Scenario: processes without a memory go on from the copy
    Given 4 nodes with a running rollout
    When all nodes are replaced and the store loses 3 s
    Then all nodes agree, one leads, and the rollout has gone on

  Scenario: records of an earlier era are skipped after the reset
    Given 4 nodes with a running rollout
    When the store loses 5 s, seen late by two nodes
    Then a late decision of the earlier era changes nothing

  Scenario: nodes that all miss records after a new era begin anew
    # Guards against a node that no longer resets a log without a checkpoint
    # once it has reset one for an era.
    Given 4 nodes with a running rollout
    When the store loses 1 s and all records expire half a minute later
    Then one leads within 20 seconds
