Feature: How much load each target handles well
  # The steps drive admission, concurrency limits and balancing in virtual
  # time, without a network. Each scenario compares the callers' latency and
  # the share of requests served in time with those at fixed slots.

  # Guards against: a target that slows down with its concurrency keeps all
  # of its slots busy and answers less than it could, with and without the
  # fourth figure of the load header.
  Scenario Outline: <load>, <figure>
    Given 4 targets, <load>, that report <figure>
    When 60 percent of their capacity is asked for, for 20 seconds
    Then at least 4 percent more of the requests are served than at fixed slots
    And the mean latency is at most 0.85 times that at fixed slots
    And each limit ends between 4 and 12

    Examples:
      | load                            | figure                                 |
      | slowing down at half of slots   | a figure                               |
      | slowing down at half of slots   | no figure and were quiet for 3 seconds |
      | replaced by a release that does | a figure                               |

  # Guards against: runs at the lowest limit that are taken for few requests,
  # after which the target gets all of its slots back.
  Scenario: slowing down at a fifth of slots
    Given 4 targets, slowing down at a fifth of slots, that report a figure
    When 30 percent of their capacity is asked for, for 30 seconds
    Then at least 20 percent more of the requests are served than at fixed slots
    And each limit ends between 4 and 4

  # Guards against: limits that fall since work is slow for another reason,
  # and trials that cost callers more than they gain.
  Scenario Outline: <load> at <percent> percent, <figure>
    Given 4 targets, <load>, that report <figure>
    When <percent> percent of their capacity is asked for, for 20 seconds
    Then about as many requests are served, as fast as at fixed slots
    And no limit is lowered outside of trials

    Examples:
      | load                       | percent | figure                                 |
      | of three speeds            | 75      | a figure                               |
      | slow for 600 ms at a time  | 80      | a figure                               |
      | slow for 600 ms at a time  | 80      | no figure and were quiet for 3 seconds |
      | all slower after 6 seconds | 80      | a figure                               |
      | all slower after 6 seconds | 80      | no figure and were quiet for 3 seconds |
      | cold                       | 90      | a figure                               |
      | as fast as usual           | 150     | a figure                               |

  # Guards against: decisions from too few runs, and trials of healthy
  # targets, which cost their callers room.
  Scenario Outline: <percent> percent are asked of healthy targets, <figure>
    Given 4 targets, as fast as usual, that report <figure>
    When <percent> percent of their capacity is asked for, for <s> seconds
    Then about as many requests are served, as fast as at fixed slots
    And no slot is ever taken away

    Examples:
      | percent | s  | figure    |
      | 1       | 60 | a figure  |
      | 80      | 15 | no figure |
      | 150     | 10 | no figure |

  # Guards against: a limit that stays after its cause has gone.
  Scenario: slowing down at half of slots for a time
    Given 4 targets, slowing down for 15 seconds, that report a figure
    When 60 percent of their capacity is asked for, for 30 seconds
    Then each limit was at most 12 and ends at all slots

  # Guards against: slow targets that are used as much as fast ones while
  # these have room, and work that gathers at the fast ones while they have
  # none. By speed, the slowest one takes half of an equal share.
  Scenario Outline: shares of three speeds at <percent> percent
    Given 4 targets, of three speeds, that report a figure
    When <percent> percent of their capacity is asked for, for 10 seconds
    Then the slowest gets <low> to <high> of an equal share

    Examples:
      | percent | low  | high |
      | 20      | 0.1  | 0.45 |
      | 120     | 0.45 | 0.65 |

  # Guards against: text of a target that is read as a number it is not.
  Scenario Outline: the load header <header>
    When a target answers with the load header "<header>"
    Then its work takes <slowness> times as long as usual

    Examples:
      | header        | slowness |
      | 3,0,16,250    | 2.5      |
      | 3, 0, 16, 100 | 1.0      |
      | 3,0,16,80,9   | 0.8      |
      | 3,0,16        | unknown  |
      | 3,0,16,       | unknown  |
      | 3,0,16,0      | unknown  |
      | 3,0,16,nan    | unknown  |
      | 3,0,16,inf    | unknown  |
      | -             | unknown  |

  # Guards against: failed runs close a window, and the few that are left decide
  # about the limit.
  Scenario: failed runs do not decide about a limit
    Given a limit of a target with 16 slots
    When 60 runs at the limit fail and 2 are slow, again and again
    Then no trial of another limit has begun

  # Guards against: fast errors make a target look fast to its callers.
  Scenario: failed runs do not count for the mean that callers get
    Given a target whose answers take 200 ms and whose errors take 2 ms
    When half of 100 runs fail
    Then the mean that callers get is between 190 and 210 ms
