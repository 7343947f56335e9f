Feature: Configurations and orders from an external source
  Scenario: one node that reads the source brings it to all
    Given a fleet of 12 nodes in lipno, svet that has settled
    When the source's version 5 reaches one root
    Then within 2 seconds all nodes route by version 5

  Scenario: shares and configurations that cross are merged
    Given a fleet of 12 nodes in lipno, svet that has settled
    When the source's versions 5 and 6 reach different roots before and after a release
    Then within 3 seconds all nodes have version 6 and the release's shares

  Scenario: an older configuration never replaces a newer one
    Given a fleet of 4 nodes in lipno that has settled
    When the source's version 6 and then version 5 reach a node
    Then within 2 seconds all nodes route by version 6

  Scenario: an order that every root reads begins one rollout
    Given a fleet of 12 nodes in lipno, svet that has settled
    And targets of version v1 and v2 of a service
    When all roots read the order to move it to v2
    Then one rollout from v1 to v2 runs and is reported as running

  Scenario: a verdict that was reported before is kept when the log is lost
    Given a fleet of 4 nodes in lipno that has settled
    And targets of version v1 and v2 of a service
    When all roots read the order to move it to v2 and its reported rollback
    Then v2 gets no traffic

  Scenario: heartbeats that are late, repeated or of an earlier start
    Given announcements of a target
    Then each is classified by its start and sequence
