Feature: Revoked API keys
  # Load: a fleet without a network, in which each node has a clock of its
  # own and the bound is 5 s; a new configuration every second, unless stated.
  # Every scenario checks at each node, every 50 ms, that it does not serve
  # requests with keys without a configuration that the store acknowledged
  # more than 5 s ago.
  Scenario Outline: in normal operation every node of <count> serves keys
    # Guards against evidence that grows old on its way down the tree: a node
    # has to serve for 3 s after its last contact, so 1.8 s are allowed.
    Given a fleet with tenants of <count> nodes in <centres>
    When it runs for 60 seconds
    Then no node served a revoked key
    And every node served keys all the time
    And no evidence was older than <limit> seconds
    And at most <reads> reads a second reached the store

    Examples:
      | count | centres          | limit | reads |
      | 14    | lipno            | 1.8   | 2     |
      | 70    | a, b, c, d, e    | 1.8   | 10    |
      | 120   | lipno            | 2.75  | 3     |

  Scenario Outline: the store rejects a root of <count> nodes
    # Guards against nodes that refuse keys because their root reads nothing.
    # In a data centre of more than 64 nodes they don't follow the source.
    Given a fleet with tenants of <count> nodes in <centres>
    When the store rejects one root for 20 seconds
    Then no node served a revoked key
    And every node served keys all the time
    And at most <reads> reads a second reached the store

    Examples:
      | count | centres     | reads |
      | 28    | lipno, svet | 40    |
      | 120   | lipno       | 120   |

  Scenario: a root freezes
    # Guards against evidence that a frozen parent no longer sends, and
    # against a thawed process that relies on what it knew before.
    Given a fleet with tenants of 28 nodes in lipno, svet
    When a root with tenants is frozen for 12 seconds
    Then no node served a revoked key
    And every other node served keys all the time

  Scenario: a node is cut off from the store and all other nodes
    # Guards against requests with revoked keys in a partition, and against
    # refusals before 0.6 of the bound.
    Given a fleet with tenants of 28 nodes in lipno, svet
    When a node is cut off from everything for 20 seconds
    Then no node served a revoked key
    And it served keys for at least 3 and less than 5 seconds
    And it serves keys again within 3 seconds

  Scenario Outline: outages of the store with answers that take <delay> s
    # Guards against a limit that is too long, and against evidence that
    # counts from the time of an answer.
    Given a fleet with tenants of 28 nodes in lipno, svet
    When the store is out 10 times after a change, its answers taking <delay> s
    Then no node served a revoked key

    Examples:
      | delay |
      | 0     |
      | 0.9   |

  Scenario: a node that gets no configurations
    # Guards against a peer's evidence about a configuration that the node
    # does not have.
    Given a fleet with tenants of 28 nodes in lipno, svet
    When a node gets no configurations for 10 seconds
    Then no node served a revoked key
    And every other node served keys all the time

  Scenario: the store is out
    Given a fleet with tenants of 28 nodes in lipno, svet
    When the store is out for 15 seconds
    Then no node served a revoked key
    And every node served keys for at least 3 and less than 5 seconds
    And every node serves keys again within 2 seconds
    And the store was asked at most 150 times a second

  Scenario: a node restarts
    Given a fleet with tenants of 28 nodes in lipno, svet
    When a node with tenants restarts
    Then it serves keys again within 3 seconds
    And no node served a revoked key

  Scenario: the store comes back from an older copy
    # Guards against evidence of a store that does not have yet what the
    # operator writes again.
    Given a fleet with tenants of 28 nodes in lipno, svet
    When a data centre reads only the first 0.8 s of a restored store
    Then no node served a revoked key

  Scenario: with everything reachable a restored store stops no keys
    Given a fleet with tenants of 28 nodes in lipno, svet
    When the store is restored from a copy of 1 second ago
    Then no node served a revoked key
    And every node served keys all the time

  Scenario: without a bound the tree's messages are unchanged
    # Guards against a cost, or a format, that old deployments would see.
    Then a heartbeat without a bound is encoded as before

  Scenario Outline: a request <who> when keys are not confirmed
    # Guards against 401 for a key that a newer configuration may have added,
    # and against refusals of requests that need no key.
    Given an outbound proxy with a bound whose evidence is <age> seconds old
    When a request comes <who>
    Then its caller gets <status>

    Examples:
      | who                              | age | status |
      | with the key of zabka            | 4   | 200    |
      | with the key of zabka            | 5   | 503    |
      | with an unknown key              | 5   | 503    |
      | without a key                    | 5   | 401    |
      | without a key to an exempt route | 5   | 200    |
      | from the running request         | 5   | 200    |

  Scenario: evidence about a configuration that is not in force is ignored
    # Guards against a view that could not be replaced and still gets evidence.
    Given an outbound proxy with a bound and evidence about a later version
    When a request comes with the key of zabka
    Then its caller gets 503

  Scenario Outline: the bounds in a settings file
    Given a settings file with the bounds <bounds>
    Then the bound on revoked keys is <seconds> seconds

    Examples:
      | bounds                              | seconds |
      | "strictRevoke=true","revoke=4s"     | 4       |
      | "strictRevoke=true"                 | 5       |
      | "strictRevoke=false","revoke=4s"    | 0       |
      | "revoke=4s"                         | 0       |

  Scenario: a process that was frozen serves no revoked key
    # Guards against the real clocks and threads behaving otherwise.
    Given two nodes on the platform with a bound of 2 seconds on revoked keys
    When one is frozen while a key is removed, and then gets a request with it
    Then the request does not reach a target

  Scenario: a process without contact to the store stops serving keys
    Given two nodes on the platform with a bound of 2 seconds on revoked keys
    When the store rejects all requests
    Then both refuse keys within 2 seconds, and serve them after it is back

  Scenario Outline: a read that returns <what> counts from <since>
    # Guards against evidence of a reader that is behind the source.
    When the source is read and returns <what>
    Then the read counts from <since>

    Examples:
      | what                | since           |
      | all records         | before its call |
      | a part of the records | no time       |

  Scenario: single reads of the source start anew in a new era of the store
    # Guards against positions of one era that are used in another.
    When a worker reads once in eras 1, 1, 2 and 2
    Then its reads start anew, at 5, at 5 and anew
    And those in eras 1, 1 and 2 confirm what they read, once each
