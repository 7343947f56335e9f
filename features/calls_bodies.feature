Feature: Large bodies between nodes
  # Load: many callers upload to a few endpoints over slow links.

  Scenario: bodies are asked for a few at a time, urgent ones first
    Given 2 bodies may be in transit at the same time
    When 3 bodies of rank 2 and then 2 of rank 1 are offered
    Then the first 2 of rank 2 are requested
    And as transfers end, bodies of rank 1 start before the last of rank 2
    And a body that is withdrawn is never requested

  Scenario: a body that would wait too long is refused when it is offered
    Given 2 bodies may be in transit at the same time
    When bodies of 60000 bytes arrive at 1000 bytes/ms for 3 seconds
    And 10 more of rank 2 are offered at once
    Then the last of them is expected to wait for 500 to 700 ms
    And one of rank 1 would wait for less than 100 ms

  Scenario: a body arrives whole and once
    Given two nodes and a target for uploads
    When 6 bodies of 300000 bytes are sent at the same time
    Then each caller gets the answer to its own request
    And the target got each body once and unchanged
    And at most 2 bodies were in transit at the same time

  Scenario Outline: a refused upload costs the link nothing
    Given two nodes and a target for uploads
    When the target <state> and a body of 300000 bytes is sent
    Then it is answered not run with the reason "<reason>"
    And less than 5000 bytes went to the other node
    And the target got no upload

    Examples:
      | state     | reason    |
      | drains    | draining  |
      | is full   | overload  |
      | is gone   | no target |

  Scenario: small messages pass a large body on a slow link
    Given a connection between nodes that is read at 200000 bytes a second
    When a body of 400000 bytes and then a small call are sent
    Then the small call arrives within 1 second, before the body's end
    And the body arrives as it was sent

  Scenario Outline: a body that <what> never runs
    Given two nodes and a target for uploads
    When the sender of a body <what>
    Then the outcome for the sender is <outcome>
    And the target got no upload

    Examples:
      | what                         | outcome |
      | stops halfway and leaves     | revoked |
      | says more than it sends      | not run |
      | sends more than it says      | not run |
      | takes longer than it has     | not run |
      | offers it twice              | unknown |

  Scenario: no part of a body follows after its call was answered
    Given two nodes and a target for uploads
    When the target drains while a body of 4000000 bytes is in transit
    Then it is answered not run with the reason "draining"
    And less than 2000000 bytes went to the other node

  Scenario: the time that a body takes is taken off the deadline
    Given two nodes and a target for uploads
    When a body is in transit for 400 ms of 1000 ms
    Then the target gets a deadline of at most 620 ms

  # Guards against: legal heads of thousands of lines, each of which takes
  # some 0.6 MB beside the target, exhaust the memory of the node there.
  Scenario: the heads of calls count against the bound of what is held
    Given two nodes and a target for uploads
    When 40 calls with 3000 header lines arrive at once
    Then some are answered, the others refused with "no room for the head"
    And nothing is held for them any more

  # Guards against: a connection that is open keeps the limit of messages from
  # before a configuration, and calls with larger heads end it.
  Scenario: larger heads that become legal arrive on an open connection
    Given two nodes and a target for uploads
    When a call arrives, heads of 200000 bytes are allowed, and a call with a head of 400000 bytes arrives
    Then both are answered by the target
