Feature: At most one execution in every interleaving
  Messages may be delayed, duplicated or lost, and proxies may crash. A
  model drives the decisions without processes or a network.

  Scenario: a non-idempotent request runs at most once
    When 1500 interleavings of a non-idempotent request are run
    Then no request ran twice
    And no request that was reported as not run has run

  Scenario: "not run" is true of an idempotent request as well
    When 600 interleavings of an idempotent request are run
    Then no request that was reported as not run has run

  Scenario Outline: the check finds a table that lacks a mechanism
    When 1500 interleavings are run with a table that has no <mechanism>
    Then a violation is found

    Examples:
      | mechanism   |
      | tombstones  |
      | horizon     |
      | floor       |
      | incarnation |
