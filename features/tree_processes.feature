Feature: Distribution tree of processes
  The guarantees checked in the simulated driver also hold for processes
  with real streams and threads.

  Scenario: a root process that stops or freezes does not stop convergence
    Given a tree of 7 processes with 2 root positions
    When a root process with children is told to stop
    Then it exits within 10 seconds and its children have other parents
    And a release reaches all tree processes within 4 seconds
    When a root process is frozen
    Then its children have another parent within 15 seconds
    And a release reaches all tree processes within 4 seconds

  Scenario: a peer that does not read is cut and costs bounded memory
    Given a connection to a peer that does not read
    When messages are sent without end
    Then it is cut before it holds 9 megabytes
