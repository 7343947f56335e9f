Feature: Calls between real processes
  Scenario: a poison request takes two targets at most
    Given a mesh of 4 nodes of service vazeni in lipno
    When a release routes /vazeni to version v1 of vazeni
    And all nodes route /vazeni
    And a request that crashes targets is sent 6 times through different nodes
    Then at most 2 targets ended
    And the request is refused as not run
    And other POSTs are answered after the targets have restarted

  Scenario: node and target stop while a request is in flight
    Given a mesh of 2 nodes of service vazeni in lipno
    When a release routes /vazeni to version v1 of vazeni
    And all nodes route /vazeni
    And a slow POST runs at a node that gets SIGTERM
    Then the POST gets its answer and the node exits with 0
    And a POST through the other node is answered by the other target
