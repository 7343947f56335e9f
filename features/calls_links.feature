Feature: Links that go silent while new ones work
  A call without an answer is probed over a new connection after a share
  of its deadline, so that a silent connection cannot use all of it up.

  Scenario Outline: a <method> whose <what> is lost in silence is saved
    Given 1 endpoint behind links that can be cut
    When the open links go silent <when> and a <method> is sent
    Then the caller gets the answer
    And the request ran 1 times
    And the answer took less than its deadline

    Examples:
      | method | what    | when                       |
      | POST   | request | before                     |
      | GET    | request | before                     |
      | POST   | answer  | while it runs              |
      | GET    | answer  | while it runs              |

  Scenario Outline: a peer is given up only if it owes an answer too long
    Given a peer last heard from <quiet> ms before a call is sent to it
    When the call waits for <waits> ms and the peer answers pings <pings>
    Then the peer is <outcome>

    Examples:
      | quiet | waits | pings      | outcome  |
      | 10000 | 700   | not at all | kept     |
      | 10000 | 1100  | not at all | given up |
      | 0     | 1100  | not at all | given up |
      | 10000 | 9000  | in 400 ms  | kept     |
      | 0     | 9000  | in 400 ms  | kept     |

  Scenario: a one-way link is reported truthfully
    Given 1 endpoint behind links that can be cut
    When all bytes from the endpoint vanish and a POST is sent
    Then the caller gets unknown
    And the answer took less than its deadline

  Scenario: a link that drops all bytes to the endpoint
    Given 1 endpoint behind links that can be cut
    When all bytes to the endpoint vanish and a POST is sent
    Then the caller gets unknown
    And the request ran 0 times

  Scenario: a long call is not cut by being asked for
    Given 1 endpoint behind links that can be cut
    When a POST takes longer than its probe delay
    Then the caller gets the answer
    And the request ran 1 times
    And no target was told to cancel

  Scenario: a caller that goes away cancels its call at the target
    Given 1 endpoint behind links that can be cut
    When a caller closes its connection while its POST runs
    Then the target is told to cancel
    And the next POST gets the answer

  Scenario: endpoints that cannot be reached hold up no request
    Given an outbound proxy that knows 6 endpoints of which 3 are dead
    And it is connected to the live ones
    When 300 requests are sent in 3 seconds
    Then each is answered by a live endpoint within 100 ms
    And the dead ones were tried at most 4 times each, never by a request

  Scenario: the first request after a restart meets mostly dead endpoints
    # Pattern: all nodes restart together, and the roster still lists
    # endpoints that left meanwhile.
    Given an outbound proxy that knows 6 endpoints of which 3 are dead
    When 40 requests are sent in 1 seconds
    Then each is answered by a live endpoint within 100 ms
    And the dead ones were tried at most 4 times each, never by a request

  Scenario: a request that reaches no endpoint is refused as not run
    # Pattern: all endpoints of a service are unreachable. A request may
    # not be held until its deadline, which is 1 s here.
    Given an outbound proxy that knows 6 endpoints of which 6 are dead
    When 4 requests are sent in 1 seconds
    Then each is refused with a time to retry within 300 ms

  Scenario: an endpoint that owes a sign of life gets no new call
    Given an outbound proxy that knows 2 endpoints of which 0 are dead
    When one of them goes silent and 50 requests are sent
    Then each is answered by a live endpoint within 100 ms

  Scenario: a single endpoint gets calls although it has to be connected
    Given an outbound proxy that knows 1 endpoints of which 0 are dead
    When 5 requests are sent in 1 seconds
    Then each is answered by a live endpoint within 100 ms

  Scenario: a suspect peer is given up although its calls have timed out
    Given a peer that was sent a call and has not answered a ping
    When the call is cancelled and a second passes
    Then its connection is closed, so that a new one can be opened
