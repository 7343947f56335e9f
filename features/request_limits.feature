Feature: What one server for callers holds for its clients
  # The steps use real sockets in one process; crowds against whole nodes are
  # in client_limits.feature.

  # Guards against: a bound that refuses a client which only pipelines.
  Scenario: a hundred requests at once are all answered
    Given a server whose header timeout is 500 ms
    When one client sends 100 requests at once
    Then it gets 100 answers

  # Guards against: data after a rejected head is parsed, held or run.
  Scenario: nothing that follows a rejected request runs
    Given a server whose header timeout is 500 ms
    When one client sends a head over the limit and a whole request after it
    Then it gets 431 once and no request has run

  # Guards against: empty lines hold a connection for ever.
  Scenario: empty lines that trickle in end the connection in time
    Given a server whose header timeout is 500 ms
    When one client sends an empty line every 100 ms
    Then its connection is closed within 2 seconds

  # Guards against: the deadline of a head begins with the empty line that
  # some clients send after a body.
  Scenario: an empty line after a request does not end the connection
    Given a server whose header timeout is 500 ms
    When one client sends a request, an empty line and 1.3 seconds later a request
    Then it gets 2 answers

  # Guards against: a trailer is taken for a header.
  Scenario: trailers are not taken for headers
    Given a server whose header timeout is 500 ms
    When one client sends a chunked body and the trailer "X-Late: 1"
    Then the request runs without the header "X-Late"

  # Guards against: requests run for a client that takes no answers, and the
  # answers fill the memory.
  Scenario: a client that takes no answers gets no further requests run
    Given a server whose answers have 1000000 bytes
    When one client sends 300 requests at once and takes no answer
    Then at most 50 requests have run

  # Guards against: idle connections keep new clients out, or a crowd that
  # sends nothing displaces those that do.
  Scenario: connections that never sent a request give way
    Given a server that holds at most 20 connections
    When one client is answered and 60 others connect and send nothing
    Then the first client is answered again on its connection
    And a new client is answered

  # Guards against: incomplete heads use up the budget, and all others are
  # refused until they time out.
  Scenario: the largest incomplete heads give way
    Given a server that holds at most 1000000 bytes of heads
    When 4 clients send 1500 lines of a head each and wait
    Then a new client is answered
    And at least one of the others gets 503

  # Guards against: when all connections are busy, each new one that is closed
  # makes place for the next, and the maximum is exceeded.
  Scenario: connections above the maximum are closed while all are busy
    Given a register of at most 3 connections, all busy
    When 5 more connect at once
    Then 3 connections are held and the 5 were closed

  # Guards against: a request that offers another protocol runs with an empty
  # body, and what follows it is lost.
  Scenario Outline: a request that offers an upgrade keeps its body, <framing>
    Given a server whose header timeout is 500 ms
    When one client offers an upgrade with a body, <framing>, and sends a request
    Then it gets 2 answers
    And the first request has run with that body

    Examples:
      | framing               |
      | with its length       |
      | in chunks             |
      | in chunks, in pieces  |
      | without any bytes     |

  # Guards against: bodies that drip hold the budget, and each further body is
  # refused until they end.
  Scenario: a body is taken while others drip
    Given a server that holds at most 1000000 bytes of bodies
    When 3 clients send 300000 bytes of a body each, then a byte now and then
    Then a new client's body of 300000 bytes is taken
    And the client that began first gets 503
