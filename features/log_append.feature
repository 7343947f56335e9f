Feature: Appends to the platform log
  An append is retried until the log answers, and takes effect once.

  Scenario Outline: a repeated append takes effect once
    Given a log in memory that answers the first appends with <faults>
    When a log worker appends a release
    Then the worker reports that the append was stored
    And the log received <count> append requests
    And the fold knows the release once, accepted

    Examples:
      | faults         | count |
      | lost           | 2     |
      | out,out        | 3     |
      | full,lost,out  | 4     |

  Scenario: an append is given up after its bound
    Given a log in memory that answers every append as during an outage
    When a log worker with a bound of 0.3 seconds appends a release
    Then the worker reports that the append failed

  Scenario: pending appends are bounded and the newest lease record stays
    Given a queue of at most 3 pending appends
    When a renewal, a release, a newer renewal and two more releases are queued
    Then the queue holds the newer renewal and 2 releases
    And the last release was rejected

  Scenario: the same record is queued once
    Given a queue of at most 3 pending appends
    When the same release is queued three times
    Then the queue holds 1 release

  Scenario: a record that is being sent is not queued again
    Given a queue of at most 3 pending appends
    When a release is queued again while it is being sent, and is then answered
    Then the queue holds 0 release

  Scenario: delays between attempts are drawn below a growing limit
    Given a queue of at most 3 pending appends
    When an append fails 12 times
    Then each delay lies below its limit and not all are equal

  Scenario: reading goes on after an outage
    Given a log in memory with 3 releases
    When a log worker starts to read during a log outage
    And the log answers again
    Then the worker delivers all entries in order

  Scenario: a connection to the log that went silent is left in time
    Given a log worker that reads the log over a link
    When the link's open connections go silent and a release is stored
    Then the worker delivers the release over a new connection
    And the default timeouts leave at most 4 seconds for that

  Scenario: records that arrive close together come with one read
    Given a log worker that starts at most one read in 200 ms
    When 20 releases are stored within 100 ms
    Then the worker delivers all of them after at most 4 reads

  Scenario: real processes lose no decision while answers are lost
    Given a mesh of 2 nodes of service kvoty in lipno
    And a node with a target of version v2 of kvoty in lipno
    When a release routes /kvoty to version v1 of kvoty
    And the log loses every answer while a move to v2 over 2 seconds is published
    Then the program reports the release as accepted
    And the move ends with its verdict within 30 seconds
