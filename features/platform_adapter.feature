Feature: What the adapter reads and writes on the platform
  Scenario: settings become a node's settings
    Given a settings file of the platform
    Then the node's settings have its addresses, store and stop times

  Scenario Outline: a settings file that cannot be used is refused in one line
    Given a settings file of the platform
    When it is changed from <change>
    Then it is refused with "<reason>"

    Examples:
      | change                                   | reason            |
      | heartbeat = "2s" to heartbeat = "3 s" | '3 s' is not a duration |
      | nodeId = "n0" to nothing                 | nodeId            |
      | ip = "127.0.0.1" to ip = 5               | ip                |

  Scenario: headers of one connection and the platform's own are not passed on
    When a client's request has headers of its connection and of the platform
    Then the target gets the host, the client's own headers and the adapter's
    And a request without an id is refused

  Scenario Outline: what a target's answer means
    When a target answers <status> with <headers>
    Then the adapter reads it as <meaning>

    Examples:
      | status | headers                       | meaning                        |
      | 200    | signature                     | an answer                      |
      | 200    | nothing                       | unknown                        |
      | 200    | signature, encoding           | unknown                        |
      | 500    | signature                     | an answer                      |
      | 503    | not-executed                  | not run: target shed load      |
      | 421    | nothing                       | not run: another target has the address |
      | 503    | nothing                       | an answer                      |

  Scenario Outline: what a client is told of a failure
    When a request ends as <kind>
    Then the client gets <status>, <retry> Retry-After

    Examples:
      | kind     | status | retry   |
      | NO_ROUTE | 404    | without |
      | INVALID  | 400    | without |
      | NOT_RUN  | 503    | with    |
      | UNKNOWN  | 502    | without |
      | TIMEOUT  | 504    | without |
      | UNAUTHORIZED | 401 | without |
      | OVER_QUOTA | 429  | with    |

  Scenario: an operator's configuration becomes routes by host
    When a configuration with a split route and limits is read
    Then its routes, weights, latency objectives and limits are converted
    And an invalid configuration is skipped with a log line

  Scenario: a health check needs no call to the store
    # Guards against a second read of the configuration by each node that
    # starts, which delayed the confirmation of targets (incident 0014).
    When a configuration with a split route and limits is read
    Then the path of the health check is known without a further call
    And it follows the next valid configuration that is read

  Scenario: the path of a health check is awaited for a short time only
    Given an operator's source that has not been read
    Then asking for a health path fails within 1 second

  Scenario: an outage of the store is told once, and reading goes on
    Given the platform's store in this process
    When it is unavailable while a worker follows it
    Then the worker reports the store's loss once and its return once
    And the configuration published during the outage arrives
    # A read of everything may be too large for a slow link.
    And it reads on from where it was

  Scenario: a single read begins where another node has read to
    # Guards against: every node reads everything when the news is late.
    Given the platform's store in this process
    When version 5 is published and read once from the position before it
    Then version 5 is delivered and everything was read only at the start
    When the source is read once from a position that it does not have
    And the source is read once without a position
    Then everything was read once more

  Scenario: a late report of a rollout does not replace a newer one
    # Pattern: a call to the store that got no answer takes effect later.
    Given the platform's store in this process
    When a report of a rollout gets no answer and the next one is stored
    Then the newest report remains once the store has processed both

  Scenario: records that have expired are read anew
    Given the platform's store in this process
    When the operator's old records expire while a worker cannot read
    Then the worker still finds the newest configuration

  Scenario: log lines are bounded and never block
    Given a log output that is not read
    When 20000 lines of one event are written
    Then it took less than 2 seconds and the dropped lines are counted

  Scenario: lines that are dropped are summed up by their reason
    # Pattern: under pressure more requests are refused than can be logged.
    When 500 refusals for each of 3 reasons are logged
    Then every reason that was dropped is named with count and request

  Scenario Outline: a request that breaks the protocol is refused
    Given the callers' server
    When a client sends <what>
    Then it gets <status> and the connection ends

    Examples:
      | what                       | status |
      | a line of garbage          | 400    |
      | two lengths                | 400    |
      | a head of 70000 bytes      | 431    |
      | a body of 20000000 bytes   | 413    |

  Scenario: requests on one connection are answered in their order
    Given the callers' server
    When a client sends 3 requests at once in chunks and with lengths
    Then it gets 3 answers in the order of the requests

  Scenario: an answer to an earlier request is not taken for the own one
    Given a target that answers a request twice before it answers the next
    When two requests are sent over one connection to it
    Then each gets its own answer

  Scenario: bytes after an answer end the connection
    Given a target that sends bytes after its answer
    When two requests are sent over one connection to it
    Then each gets its own answer
    And two connections were opened

  Scenario: a connection to an earlier target is not used for the next one
    Given a target that is replaced while it runs a request
    When its answer has arrived and another request is sent
    Then the other request reaches the new target
