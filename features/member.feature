Feature: Membership
  Every node knows the endpoints; rows spread in batches.

  Scenario: an endpoint that leaves is known to leave within a second
    Given 60 members in lipno, svet that know each other
    When an endpoint leaves
    Then no node would call it after 1 seconds

  Scenario: a dead node expires everywhere and its row is removed
    Given 40 members in lipno, svet that know each other
    When a node dies
    Then no node would call it after 40 seconds
    And no node has its row after 100 seconds

  Scenario: a row that was removed is not revived by a node with old rows
    Given 40 members in lipno that know each other
    When a node dies
    And a node without children is cut off until the row is removed
    Then no node would call it after 40 seconds
    And every node would call the node that was cut off after 20 seconds

  Scenario: a live node that was taken for dead refutes it
    Given 40 members in lipno, svet that know each other
    When a root takes a live node for dead
    Then every node would call it after 10 seconds

  Scenario: a flapping endpoint is damped, but its leaving never is
    Given 40 members in lipno that know each other
    When an endpoint leaves and returns 50 times within 25 seconds
    Then its row changed at most 30 times
    And it was never seen serving after it left for good
    When its endpoint returns and stays
    Then every node would call it after 90 seconds

  Scenario: a whole data centre leaves and comes back
    Given 120 members in lipno, svet that know each other
    When every node of lipno restarts within 2 seconds
    Then all tables agree after 30 seconds
    And nobody sent more than 12 kilobytes a second over 30 seconds

  Scenario: a joining node gets only the rows that differ
    Given 120 members in lipno, svet that know each other
    When a leaf loses its parent and attaches again
    Then it got less than 20 rows

  Scenario: rows merge to the same table in any order
    Then any order and repetition of rows gives the same table
