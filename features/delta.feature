Feature: Configuration deltas
  A node changes over to a checked whole or not at all.

  Scenario: a difference gives exactly the new configuration
    Then any two configurations differ by a delta that turns one into the other

  Scenario: a damaged delta changes nothing and the whole is asked for
    Given a child with version 1 of a configuration
    When its parent sends a delta to version 2 with a wrong digest
    Then the child still has version 1 and asks for the whole
    When its parent sends version 2 as a whole
    Then the child has version 2

  Scenario: a delta for another base asks for the whole
    Given a child with version 1 of a configuration
    When its parent sends a delta from version 2 to version 3
    Then the child still has version 1 and asks for the whole

  Scenario: an older configuration is never put in force
    Given a child with version 3 of a configuration
    When its parent sends version 2 as a whole
    Then the child has version 3

  Scenario: a route without its service is never put in force
    Given a child with version 1 of a configuration
    When its parent sends a whole whose route names no service
    Then the child has version 1

  Scenario: a change costs a delta, encoded once for all children
    Given a parent with 16 children and 300 services
    When one route changes
    Then all children get one and the same delta of at most 400 bytes

  Scenario: a burst of changes is in force within the bound
    Given a fleet of 40 nodes in lipno, svet that has settled
    When 50 changes are published within a second
    Then the last of them is in force everywhere within 4 seconds
