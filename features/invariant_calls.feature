Feature: Calls under failure
  Checks the invariants own-whole-answer, not-run-is-true, at-most-once,
  leaving-gets-nothing and planned-stop-cuts-nothing.

  Scenario: links to inbound proxies are cut, go silent and lose answers
    Given a trial mesh of 4 nodes in 1 data centres with inbound behind proxies
    And every node has granted a new idempotency key
    And callers send 50 requests a second for 10 seconds
    When links of inbound proxies go silent 3 times
    And answers are cut after the request went through, 6 times
    And links of inbound proxies are reset at byte 200, 4 times
    And links of inbound proxies lose one direction for 2 seconds
    Then the time line exercises and satisfies own-whole-answer, at-most-once

  Scenario: nodes are killed amid calls that are sent again
    Given a trial mesh of 6 nodes in 2 data centres
    And every node has granted a new idempotency key
    And callers send 60 requests a second for 10 seconds
    When the nodes of lipno are killed together
    And the killed nodes start again
    And the nodes of svet are killed together
    Then the time line exercises and satisfies own-whole-answer, not-run-is-true, at-most-once

  Scenario: more calls than slots are refused truthfully
    Given a trial mesh of 2 nodes in 1 data centres
    And the targets take 300 ms for an answer
    And callers without keys send 250 requests a second for 4 seconds
    Then the time line exercises and satisfies own-whole-answer, not-run-is-true, at-most-once

  Scenario: targets leave and nodes stop as planned amid calls
    Given a trial mesh of 6 nodes in 1 data centres
    And the targets take 200 ms for an answer
    And callers without keys send 50 requests a second for 12 seconds
    When a target leaves and its node stops later
    And a node stops at once
    Then the time line exercises and satisfies leaving-gets-nothing, planned-stop-cuts-nothing

  Scenario: a request that crashes targets is sent again and again
    Given a trial mesh of 6 nodes in 1 data centres
    And callers without keys send 40 requests a second for 8 seconds
    When a caller sends a poison request through 6 nodes in turn
    Then at most 2 targets ended because of it
    And the time line exercises and satisfies own-whole-answer, not-run-is-true, at-most-once

  Scenario: answers of targets are cut in the middle
    Given a trial mesh of 2 nodes in 1 data centres with target behind proxies
    And every node has granted a new idempotency key
    And callers send 40 requests a second for 5 seconds
    When answers of targets are cut at byte 60, 8 times
    Then the time line exercises and satisfies own-whole-answer, at-most-once
