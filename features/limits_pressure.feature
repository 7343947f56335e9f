Feature: Limits of targets under load, few nodes and many
  # The steps drive admission, states of targets and balancing in virtual
  # time, without a network. The bound is that of target_limits.feature.

  # Guards against: each of many nodes takes the limit for its own share.
  Scenario Outline: <callers> nodes together keep a limit of <limit> a second
    Given <callers> callers and 8 endpoints of which 4 name <limit> requests a second
    When <rate> requests a second are sent for 20 seconds in virtual time
    Then no endpoint gets more than its limit allows
    And at least <share> percent of each limit is used
    And at least 99 percent of the requests are served
    And at most one request in 5 is refused by an endpoint on its way

    Examples:
      | callers | limit | rate | share |
      | 3       | 40    | 600  | 80    |
      | 14      | 40    | 600  | 80    |
      | 64      | 40    | 600  | 80    |
      | 14      | 3     | 600  | 70    |
      | 64      | 3     | 600  | 70    |
      | 64      | 0.5   | 600  | 50    |

  # Guards against: a limit is kept when it is named, but not when it changes.
  Scenario: limits change, come and end
    Given 64 callers and 8 endpoints of which 0 name 1 requests a second
    When the limits change 12 times, 4 seconds apart, at 600 requests a second
    Then no endpoint gets more than the limits of the last 4 seconds allow

  # Guards against: a node that is restarted again and again lets requests
  # through each time until it has learned the limit.
  Scenario Outline: restarts every <pause> ms of the nodes beside the targets
    Given 64 callers and 8 endpoints of which 4 name <limit> requests a second
    When 600 requests a second are sent for 20 seconds with restarts every <pause> ms
    Then no endpoint gets more than its limit allows

    Examples:
      | limit | pause |
      | 40    | 900   |
      | 3     | 900   |
      | 0.5   | 1500  |

  # Guards against: requests of low priority use up the limit.
  Scenario: the more urgent requests get the limit
    Given 14 callers and 2 endpoints of which 2 name 40 requests a second
    When requests of ranks -1 and 0 need a quarter of that each, and rank 2 more than the rest
    Then at least 97 percent of those of ranks -1 and 0 are served

  # Guards against: refused callers stay away for so long that limits are
  # left unused, or come back so soon that most requests are refused twice.
  Scenario: a service whose endpoints are all at their limits is used up to them
    Given 14 callers and 4 endpoints of which 4 name 5 requests a second
    When 400 requests a second are sent for 20 seconds in virtual time
    Then at least 70 percent of each limit is used
    And at most one request in 5 is refused by an endpoint on its way
