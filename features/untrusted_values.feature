Feature: Values from outside, as readers get them
  Scenario: versions of any size pass through every message
    # Guards against review/3: versions beyond 64 bits had no encoding.
    Then each message that names a version is decoded as it was encoded
    And the digest of a configuration with a small version is unchanged

  Scenario Outline: an invalid <record> costs only itself: <what>
    # Guards against the report of invalid entries: one of them ended the
    # readers, or went on into tables, messages and sockets.
    Given a good <record> and a copy of it with <what>
    When both are read
    Then only the good one is used, and one line names the invalid one

    Examples: of the roster
      | record       | what                              |
      | roster entry | nesting                           |
      | roster entry | bytes that are no text            |
      | roster entry | a list in its place               |
      | roster entry | member.slots = -1                 |
      | roster entry | member.slots = 2**70              |
      | roster entry | member.slots = 10**4000           |
      | roster entry | member.slots = 1.5                |
      | roster entry | member.slots = null               |
      | roster entry | member.incarnation = -1           |
      | roster entry | member.incarnation = 2**64        |
      | roster entry | member.sequence = 2**63           |
      | roster entry | member.inbound = "10.0.0.1:65536" |
      | roster entry | member.inbound = "10.0.0.1:0"     |
      | roster entry | member.inbound = "10.0.0.1"       |
      | roster entry | member.relay = "10.0.0.1:-1"      |
      | roster entry | member.target = "a b:80"          |
      | roster entry | member.service = "a\\nb"          |
      | roster entry | member.state = "unknown"              |
      | roster entry | born_ms = 2**64                   |
      | roster entry | instance = ""                     |

    Examples: of the target
      | record    | what                         |
      | heartbeat | nesting                      |
      | heartbeat | bytes that are no text       |
      | heartbeat | info.service = "vazeni"      |
      | heartbeat | info.slots = -1              |
      | heartbeat | info.slots = 0               |
      | heartbeat | info.slots = 2**64           |
      | heartbeat | info.slots = true            |
      | heartbeat | status.sequence = 2**64      |
      | heartbeat | status.sequence = -1         |
      | heartbeat | status.coldRemaining = "9e9s" |
      | heartbeat | status.coldRemaining = "99999999999s" |
      | heartbeat | status.state = "unknown"         |
      | heartbeat | born = 2**70                 |
      | heartbeat | born = -1                    |
      | heartbeat | address = "10.0.0.1:65536"   |
      | heartbeat | address = "10.0.0.1"         |
      | heartbeat | instance = "a\\r\\nX: y"     |

    Examples: of the operator
      | record        | what                                    |
      | order         | nesting                                 |
      | order         | bytes that are no text                  |
      | order         | service = "other"                       |
      | order         | duration = "99999999999s"               |
      | order         | duration = 5                            |
      | configuration | nesting                                 |
      | configuration | version = -1                            |
      | configuration | version = 2**128                        |
      | configuration | version = "7"                           |
      | configuration | routes.r.priority = 2**70               |
      | configuration | routes.r.maxAttempts = -1               |
      | configuration | routes.r.timeout = "99999999999s"       |
      | configuration | routes.r.service = ""                   |
      | configuration | services.kvoty.maxConnections = 2**64   |
      | configuration | limits.maxBodyBytes = 2**64             |
      | configuration | tenants.zabka.apiKeys = [5]             |
      | configuration | tenants.zabka.apiKeys = ["a\\r\\nX: y"]  |
      | configuration | tenants.zabka.priority = -1             |
      | configuration | tenants.zabka.ratePerS = -1             |

    Examples: of the store and of peers
      | record     | what                              |
      | item       | value = "%%%"                     |
      | member row | slots = -1                        |
      | member row | inbound = "10.0.0.1:65536"        |

  Scenario Outline: a store that answers with <what> counts as unavailable
    Given a store that answers with <what>
    When it is asked for all records and for new ones
    Then the store is unavailable each time

    Examples:
      | what               |
      | nesting            |
      | an offset of 2**41 |
      | a page that repeats |

  Scenario Outline: a number from a caller or a target is bounded: <text>
    When a caller's deadline is "<text>"
    Then it is read as <deadline>
    When a target names the limit "<text>"
    Then it is taken as <limit>

    Examples:
      | text         | deadline   | limit      |
      | 1500         | 1500       | 1500       |
      | 1e400        | 1000000000 | no limit   |
      | 1e300        | 1000000000 | 1000000000 |
      | -5           | 0          | no limit   |
      | nan          | malformed  | no limit   |

  Scenario Outline: <reader> copes with anything that is written
    Then <reader> raises only its own errors, and what it accepts can be sent

    Examples:
      | reader                     |
      | the roster's reader        |
      | the heartbeats' reader     |
      | the operator's reader      |
      | the reader of log records  |
      | the reader of messages     |
      | the store's client         |

  Scenario: endpoints are found beside invalid entries of the roster
    # Guards against the report of invalid entries: a deeply nested one ended
    # the reader, and endpoints that were added later were never used.
    Given invalid entries in the roster
    And nodes on the platform for kvoty and vazeni
    And the operator publishes version 3 with routes to both services
    When a machine for vazeni is added
    Then within 10 seconds every node uses its target
    And no node has logged an unexpected error
