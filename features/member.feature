Feature: Membership
  Every node keeps a row for every other node; changed rows are sent in
  batches.

  Scenario: an endpoint that leaves is known to leave within a second
    Given 60 members in lipno, svet whose tables agree
    When an endpoint leaves
    Then no node routes calls to it after 1 seconds

  Scenario: a dead node expires everywhere and its row is removed
    Given 40 members in lipno, svet whose tables agree
    When a node dies
    Then no node routes calls to it after 40 seconds
    And no node has its row in the table after 100 seconds

  Scenario: a row that was removed is not revived by a node with old rows
    Given 40 members in lipno whose tables agree
    When a node dies
    And a node without children is disconnected until the others remove the row
    Then no node routes calls to it after 40 seconds
    And every node routes calls to the disconnected node after 20 seconds

  Scenario: a live node that was taken for dead refutes it
    Given 40 members in lipno, svet whose tables agree
    When a root declares a live node dead
    Then every node routes calls to it after 10 seconds

  Scenario: a flapping endpoint is damped, but its leaving never is
    Given 40 members in lipno whose tables agree
    When an endpoint leaves and returns 50 times within 25 seconds
    Then its row changed at most 30 times
    And no node saw it serving after it left for the last time
    When its endpoint returns once more and stays
    Then every node routes calls to it after 90 seconds

  Scenario: a whole data centre leaves and comes back
    Given 120 members in lipno, svet whose tables agree
    When every node of lipno restarts within 2 seconds
    Then all tables agree after 30 seconds
    And no node sent more than 12 kilobytes a second over 30 seconds

  Scenario: a joining node gets only the rows that differ
    Given 120 members in lipno, svet whose tables agree
    When a leaf loses its parent and attaches again
    Then it received fewer than 20 rows

  Scenario: rows merge to the same table in any order
    Then rows merged in any order and repeated give the same table

  Scenario: nodes that leave or die are recorded in the roster, once
    # Pattern: nodes leave while the roster cannot be written, and all
    # nodes restart later.
    Given 40 members in lipno, svet whose tables agree
    When the log is out, a target departs and another node dies
    Then nothing is recorded in the roster within 40 seconds
    When the outage ends for all members
    Then both are recorded in the roster once within 20 seconds

  Scenario Outline: a restarted node learns that its target had departed
    # Pattern: a node is killed after its target reported that it leaves,
    # before the roster has it.
    Given a fast fleet of 13 nodes in lipno, svet that has settled
    When the target of a leaf departs and the leaf is restarted with the log <log>
    Then it is told of the departure within 2 seconds

    Examples:
      | log       |
      | out       |
      | available |

  Scenario Outline: an entry of the roster changes only if it is outdated
    Given a roster entry of process <entry> with the target <target>
    When its node is gone with process 2, the target i-1 <how>
    Then the entry is <absent> and <departed>

    Examples:
      | entry | target | how      | absent  | departed     |
      | 2     | i-1    | departed | absent  | departed     |
      | 2     | i-1    | silent   | absent  | not departed |
      | 1     | i-1    | departed | absent  | departed     |
      | 3     | i-1    | departed | present | not departed |
      | 2     | i-2    | departed | present | not departed |
