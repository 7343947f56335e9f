Feature: Answers without end, many at once
  # Two nodes run as processes with the settings for a machine with 100 MB.
  # 20 callers send to the first for 4 seconds; the target of the second
  # answers each request with bytes without end, until its connection is
  # closed. Memory is VmHWM of each node.

  # Guards against: a node keeps what a faulty target sends and runs out of
  # memory, and the requests of other callers end with it.
  Scenario Outline: nodes on the platform survive <what> from a target
    Given two nodes on the platform with settings for a small machine
    When 20 callers get <what> without end from a target
    Then each node has used at most 100 MB and lives
    And the requests are answered again once the target has recovered

    Examples:
      | what                  |
      | a reason phrase       |
      | a header value        |
      | header lines          |
      | interim answers       |
      | chunk extensions      |
      | trailers              |
      | a body in chunks      |
      | a body with a length  |
      | a body without length |

  Scenario Outline: threaded nodes survive <what> from a target
    Given two threaded nodes with settings for a small machine
    When 20 threaded callers get <what> without end from a target
    Then each threaded node has used at most 100 MB and lives
    And the threaded requests are answered again once the target has recovered

    Examples:
      | what                  |
      | a reason phrase       |
      | a header value        |
      | header lines          |
      | interim answers       |
      | chunk extensions      |
      | trailers              |
      | a body in chunks      |
      | a body with a length  |
      | a body without length |
