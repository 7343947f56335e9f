Feature: Rules that keep the shares of a limit apart
  # One node and its quota servers, with messages that take no time. The
  # limit is 1000 requests a second and the node is the only one, so that
  # its share is the whole limit.

  # Guards against: a pledge that waited in a frozen process is in force after
  # its node has begun to use the share itself.
  Scenario: a pledge ends at a fixed time after its stamp
    Given a node that uses the quota servers a and b
    When a pledge with a stamp of some age arrives
      | age | accepted | left |
      | 0.0 | yes      | 2.9  |
      | 2.5 | yes      | 0.4  |
      | 3.1 | no       | 0.0  |
    Then it is in force only for the time that is left

  # Guards against: a restarted process uses a share that its predecessor has
  # pledged to a server that it does not know.
  Scenario: a new process neither uses nor pledges its share for 3 s
    Given a node that uses the quota servers a and b
    When it is restarted and no server is reached
    Then it lets nothing through for 3 s, and its share after that
    And it has pledged nothing before

  # Guards against: a share that is used while a server may still hold it.
  Scenario: a node that loses its servers waits for the end of its pledge
    Given a node that uses the quota servers a and b
    When no server is reached any more
    Then it lets nothing through for 1.4 s, and its share after 3.1 s

  # Guards against: two servers hold the share for one tenant.
  Scenario Outline: the tenant's server changes, its old one <state>
    Given a node that uses the quota servers a and b
    When the tenant's server is left out and <state>
    Then the other server holds the tenant's share after <time> s and not before

    Examples:
      | state         | time |
      | confirms it   | 0.0  |
      | is cut off    | 2.0  |

  # Guards against: tokens are kept for use in a later window.
  Scenario: granted tokens end after 0.3 s
    Given a node that uses the quota servers a and b
    When it holds tokens ahead for 0.31 s without a request
    Then they are not used
