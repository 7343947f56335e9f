Feature: Requests sent again with the same Idempotency-Key
  Invariant: all requests with one key together run at most once in the
  whole mesh.

  Background:
    Given 3 endpoints that honour keys and two nodes that callers use

  Scenario: the answer was lost
    When a POST with a key is sent through one node
    And it is sent again through the other node
    Then both got the same answer and it ran once

  Scenario: the first one still runs
    When a POST with a key is sent through both nodes at the same time
    Then both got the same answer and it ran once

  Scenario: the first one was cut before it ran
    When a POST with a key is granted but never reaches its endpoint
    And it is sent again through the other node
    Then the second got the answer and it ran once

  Scenario: the key's owner dies
    When a POST with a key is sent through one node
    And the owner of the key is replaced
    And it is sent again through the other node
    Then the second got unknown and it ran once

  Scenario: the endpoint that ran it dies
    When a POST with a key is sent through one node
    And the endpoint that ran it is replaced
    And it is sent again through the other node
    Then the second got unknown and it ran once

  Scenario: the key moves to another owner
    When a POST with a key is sent through one node
    And the owner of the key leaves the membership
    And it is sent again through the other node
    Then the second got unknown and it ran once

  Scenario: another request has the key
    When a POST with a key is sent through one node
    And another body is sent with the same key
    Then the second got not-run and it ran once

  Scenario: two sides of a cut cannot both grant
    Then of two partitions of 4 owners at most one grants a new key
