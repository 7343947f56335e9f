Feature: Configuration deltas
  A node puts a complete, verified configuration in force or none.

  Scenario: a difference gives exactly the new configuration
    Then the delta between any two configurations turns one into the other

  Scenario: a damaged delta changes nothing and the whole is asked for
    Given a child with version 1 of a configuration
    When its parent sends a delta to version 2 with a wrong digest
    Then the child still has version 1 and requests a full snapshot
    When its parent sends a full snapshot of version 2
    Then the child has version 2

  Scenario: a delta for another base asks for the whole
    Given a child with version 1 of a configuration
    When its parent sends a delta from version 2 to version 3
    Then the child still has version 1 and requests a full snapshot

  Scenario: an older configuration is never put in force
    Given a child with version 3 of a configuration
    When its parent sends a full snapshot of version 2
    Then the child has version 3

  Scenario: a route without its service is never put in force
    Given a child with version 1 of a configuration
    When its parent sends a full snapshot with a route to an unknown service
    Then the child has version 1

  Scenario: a change costs a delta, encoded once for all children
    Given a parent with 16 children and 300 services
    When one route changes
    Then all children get the same delta object of at most 400 bytes

  Scenario: a burst of changes is in force within the bound
    Given a fleet of 40 nodes in lipno, svet that has settled
    When 50 changes are published within a second
    Then the last of them is in force everywhere within 4 seconds
