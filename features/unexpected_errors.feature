Feature: One unexpected exception ends no loop
  # Guards against review/3: an exception left the tick of the control loop
  # before its timer was set again, and all control stopped for good.

  Scenario Outline: <part> goes on after an exception in <step>
    Given <part> in which <step> fails once
    Then the next ones still happen within 3 seconds
    And one log line names <step> and the reason

    Examples:
      | part                 | step         |
      | the control loop     | a tick       |
      | the control loop     | an event     |
      | the control loop     | an effect    |
      | the control thread   | a tick       |
      | the control thread   | an event     |
      | the control thread   | an effect    |
      | a periodic callback  | a call       |
      | a background task    | a task       |
      | the source's reader  | a read       |
      | the source's reader  | a report     |
      | the log's worker     | a log read   |
      | the log's worker     | an append    |
      | the roster's client  | a load       |
      | a connection of nodes | a message   |

  Scenario: a system that fails at every tick does not stop the others
    Given a node whose checkpoint system always fails
    When it ticks 10 times
    Then its other systems ran 10 times

  Scenario Outline: an address that is <what> is an unreachable peer
    When <caller> connects to <address>
    Then it is told that the peer is unavailable

    Examples:
      | what                 | caller             | address          |
      | beyond all ports     | a connection pool  | 127.0.0.1:99999  |
      | without a number     | a connection pool  | 127.0.0.1:x      |
      | beyond all ports     | a node             | 127.0.0.1:99999  |
      | without a number     | a node             | 127.0.0.1:x      |
      | without a host       | a node             | .:7600           |
