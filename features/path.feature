Feature: The whole path
  A published release comes into force on every node, and a call through
  any node reaches a target.

  Scenario: a call enters at any node and gets the target's answer
    Given a mesh of 3 nodes of service kvoty in lipno
    When a release routes /kvoty to version v1 of kvoty
    Then it is in force on all nodes within 4 seconds
    And a call to /kvoty/today through each node answers "kvoty/v1 GET /kvoty/today"
    And the metrics of each node show its configuration and 1 call
