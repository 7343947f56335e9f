Feature: Limits of tenants over all nodes together
  # The steps drive the decisions of nodes and quota servers in virtual time,
  # without a network. In any 5 s at most (rate x 5 + burst) x 1.1 + 20
  # requests of a tenant are let through. Six tenants, the three largest
  # among them, send twice their limit unless a scenario says otherwise.

  # Guards against: a breach, or requests lost below the limit, because the
  # load of a tenant is not spread as the shares are.
  Scenario Outline: load <place>, <nodes> nodes and <tenants> tenants
    Given <nodes> nodes that share the limits of <tenants> tenants
    When the tenants send twice their limits for 4 s <place>
    Then no tenant gets more than its limit in any window
    And each tenant can use at least <share> percent of its limit

    Examples:
      | nodes | tenants | place                        | share |
      | 70    | 77      | on one node                  | 99    |
      | 70    | 77      | on all nodes                 | 99    |
      | 70    | 77      | in one data centre at a time | 99    |
      | 300   | 1000    | on one node                  | 99    |
      | 300   | 77      | in one data centre at a time | 99    |
      | 1000  | 77      | on all nodes                 | 99    |
      | 1000  | 1000    | in one data centre at a time | 99    |

  # Guards against: both sides of a partition use the whole limit, or the
  # shares stay split once it has ended.
  Scenario Outline: a partition of <nodes> nodes, and its end
    Given <nodes> nodes that share the limits of 77 tenants
    When two of five data centres are partitioned for 12 s under load
    Then no tenant gets more than its limit in any window
    And each tenant can use at least 90 percent of its limit
    When the partition ends and the load goes on for 12 s
    Then no tenant gets more than its limit in any window
    And each tenant can use at least 95 percent of its limit

    Examples:
      | nodes |
      | 70    |
      | 300   |

  # Guards against: requests below the limit are refused, or a node sends a
  # message for each request.
  Scenario Outline: messages of <nodes> nodes at normal load
    Given <nodes> nodes that share the limits of <tenants> tenants
    When all tenants send their limits divided by 1.6 for <seconds> s
    Then at least 99 of 100 of their requests are let through
    And a node sends and gets at most <most> messages a second on average
    And 90 of 100 requests wait for at most 30 ms

    Examples:
      | nodes | tenants | seconds | most |
      | 70    | 77      | 5       | 90   |
      | 300   | 77      | 5       | 50   |
      | 1000  | 1000    | 2       | 70   |

  # Guards against: a restart or a freeze creates credit, or a restarted
  # quota server loses more than its bucket.
  Scenario Outline: <event> of <count> nodes every <pause> ms
    Given 70 nodes that share the limits of 77 tenants, seed <seed>
    When <count> nodes <event> every <pause> ms for 15 s under load
    Then no tenant gets more than its limit in any window
    And the tenants can use at least <share> percent of their limits together

    Examples:
      | event   | count | pause | seed | share |
      | restart | 1     | 500   | 1    | 95    |
      | restart | 10    | 1000  | 2    | 60    |
      | restart | 70    | 5000  | 3    | 30    |
      | freeze  | 1     | 500   | 4    | 85    |
      | freeze  | 10    | 1000  | 5    | 40    |

  # Guards against: nodes that know different members use different servers
  # for one tenant, and more than the limit together.
  Scenario Outline: nodes that know different members, seed <seed>
    Given 70 nodes that share the limits of 77 tenants, seed <seed>
    When each node knows another nine in ten of them, changed 5 times, under load
    Then no tenant gets more than its limit in any window
    And each tenant can use at least 40 percent of its limit

    Examples:
      | seed |
      | 6    |
      | 7    |
      | 8    |

  # Guards against: a lost quota server takes its tenants with it.
  Scenario: all quota servers are lost at once
    Given 70 nodes that share the limits of 77 tenants
    When all quota servers end and the load goes on for 12 s
    Then no tenant gets more than its limit in any window
    And an isolated node lets through its own share

  # Guards against: tokens granted by a higher limit are used for longer than
  # a window after a lower limit is in force.
  Scenario: a limit is lowered
    Given 70 nodes that share the limits of 77 tenants
    When the limits are divided by 10 within 2.5 s under load
    Then the lower limits hold one window later
