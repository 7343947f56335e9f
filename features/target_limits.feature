Feature: Limits that targets name, and targets that say they leave
  # Both stand in the answers of a target. The bounds are those that the
  # platform states: from 3 s after a limit was first named, one and a half
  # times the limit and 5 requests in any 4 s.

  # Guards against: a target gets more requests than the limit it named.
  Scenario: a target gets no more requests than the limit it has named
    Given nodes on the platform for kvoty, kvoty and kvoty
    And the operator publishes version 3 with routes to both services
    When the first target names a limit of 4 requests a second
    And 60 requests a second are sent for 8 seconds
    Then it gets at most 29 requests in any 4 seconds
    And at least 99 of 100 requests are answered

  # Guards against: a restart of the node beside a target forgets its limit.
  Scenario: a limit outlives restarts of the node beside the target
    Given nodes on the platform for kvoty, kvoty and kvoty
    And the operator publishes version 3 with routes to both services
    When the first target names a limit of 1 request a second
    And 60 requests a second are sent for 8 seconds while its node restarts
    Then it gets at most 11 requests in any 4 seconds from the other nodes

  # Guards against: a target that leaves without an announcement gets work.
  Scenario: a target that says it leaves in its answers gets no new requests
    Given nodes on the platform for kvoty, kvoty and kvoty
    And the operator publishes version 3 with routes to both services
    When the first target says in its answers that it leaves
    And 60 requests a second are sent for 4 seconds
    Then it gets no request later than 2 seconds after its first such answer
    And at least 99 of 100 requests are answered

  # Guards against: a restart forgets that a target said it leaves, and its
  # heartbeats, which do not say so, put it back into service.
  Scenario: a restart does not forget what the answers of a target said
    Given nodes on the platform for kvoty, kvoty and kvoty
    And the operator publishes version 3 with routes to both services
    When the store is out
    And the first target says in its answers that it leaves
    And 60 requests a second are sent for 6 seconds while its node restarts
    Then it gets no request later than 2 seconds after its first such answer
