Feature: Bytes without end from those who are in trouble
  # The steps use real sockets; the peer sends until its connection is
  # closed.

  Scenario Outline: a target's answer without end is given up
    Given a target that sends <what> without end
    When a request is sent to it
    Then the outcome is unknown because of "<reason>"
    And less than 2 MB were held for it
    And the target's connection is closed and not used again
    And no step of the event loop took 20 ms of CPU time

    Examples:
      | what                  | reason                     |
      | a reason phrase       | bytes beside the body      |
      | a header name         | bytes beside the body      |
      | a header value        | bytes beside the body      |
      | header lines          | bytes beside the body      |
      | interim answers       | too many interim answers   |
      | chunk extensions      | bytes beside the body      |
      | trailers              | bytes beside the body      |
      | a body in chunks      | a body of more than        |
      | a body with a length  | a body of more than        |
      | a body without length | a body of more than        |
      | answers to others     | too many answers to other  |

  Scenario: an answer in chunks of one byte is no trouble
    Given a target that answers with 3000 chunks of one byte
    When a request is sent to it
    Then its answer has 3000 bytes

  Scenario: the bodies of many answers together are bounded
    Given a target that sends a body with a length without end
    When 20 requests are sent to it that may hold 1000000 bytes together
    Then all outcomes are unknown and less than 2 MB were held for them

  Scenario: an answer that this side breaks off is never whole
    Given a target that sends a body without length and then waits
    When a request is sent to it and aborted
    Then the outcome is unknown because of "closed by the target"

  Scenario: a caller whose head trickles in is turned away in time
    Given a server for callers with a header timeout of 500 ms
    When a caller sends a byte of its head every 100 ms
    Then it gets 408 within 2 seconds

  Scenario: callers' bodies over the bound are refused before they run
    Given a server for callers that holds at most 100000 bytes of bodies
    When a caller sends a complete body of 60000 bytes and gets no answer yet
    And another caller sends a complete body of 60000 bytes
    Then the other one gets 503 with a Retry-After and its request has not run
    And it is served once the first one has disconnected

  Scenario: an incomplete body over the bound is refused for a complete one
    Given a server for callers that holds at most 100000 bytes of bodies
    When a caller sends 60000 bytes of a body and waits
    And another caller sends a complete body of 60000 bytes
    Then the other one is served
    And the first one gets 503 with a Retry-After and its request has not run

  Scenario Outline: a store's answer without end is given up
    Given a target that sends <what> without end
    When the store client reads from it
    Then the store is reported unavailable within 2 seconds

    Examples:
      | what                 |
      | header lines         |
      | interim answers      |
      | a body in chunks     |
      | a body with a length |

  # Guards against: a node on a slow link that never gets a large
  # configuration, since each read ends shortly before it is whole.
  Scenario: a large answer of the store over a slow link is read
    Given a store that sends a configuration of 600 KB within 2.4 seconds
    When a client with a request timeout of 1 s reads the newest records
    Then it has the configuration

  # Guards against: a limit of the whole answer that hides a silent store.
  Scenario Outline: a store that sends <what> is given up
    Given a store that sends <what>
    When a client with a request timeout of 1 s reads the newest records
    Then the store is reported unavailable within <limit> seconds

    Examples:
      | what                             | limit |
      | nothing                          | 2     |
      | half of an answer                | 2     |
      | a byte every 0.2 s and never end | 5     |
