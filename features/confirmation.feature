Feature: Confirming that the local target serves, after a restart of the node
  Scenario Outline: a target is <result> by <evidence>
    # Guards against review/5: an earlier process may have acknowledged
    # that the target leaves, and heartbeats may be late.
    When a process that is <order> of its node learns <evidence>
    Then it counts as <result>

    Examples:
      | order         | evidence                               | result        |
      | the first     | heartbeat 4                            | confirmed     |
      | not the first | heartbeat 4                            | not confirmed |
      | not the first | heartbeat 4, heartbeat 4               | not confirmed |
      | not the first | heartbeat 4, heartbeat 3               | not confirmed |
      | not the first | heartbeat 4, heartbeat 5               | confirmed     |
      | not the first | heartbeat 4, heartbeat 5 of a newer start | not confirmed |
      | not the first | heartbeat 4, its health, heartbeat 4   | confirmed     |
      | not the first | its health, heartbeat 4 of a newer start | not confirmed |
      | not the first | heartbeat 1 of a start 20 s after the process's own | confirmed |

  Scenario Outline: a target that is <state> counts as <health>
    Given a health check of a target that is <state>
    Then the check tells <health>

    Examples:
      | state               | health      |
      | ready               | serving     |
      | draining            | not-serving |
      | left                | not-serving |
      | another one         | not-serving |
      | gone                | unknown     |
      | without a path      | unknown     |
      | beside a lost store | unknown     |
      | sending 20 MB       | unknown     |
