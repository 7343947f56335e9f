Feature: Nothing is sent to the targets of an evacuated data centre
  Scenario Outline: a node that has <known> learns <news>
    # Guards against: an older message or a repeated record that undoes or
    # revives an evacuation.
    Given a node that knows the register <known>
    When it learns <news>
    Then it evacuates <result>

    Examples: registers are written era/offset/data centres
      | known       | news                    | result     |
      | nothing     | 0/4/lipno               | lipno      |
      | 0/4/lipno   | 0/3/                    | lipno      |
      | 0/4/lipno   | 0/4/                    | lipno      |
      | 0/4/lipno   | 0/6/                    | nothing    |
      | 0/9/lipno   | 1/2/                    | nothing    |
      | 1/2/lipno   | 0/9/                    | lipno      |
      | 0/4/lipno   | record 5 evacuates tabor | lipno,tabor |
      | 0/4/lipno   | record 5 frees lipno    | nothing    |
      | 0/6/lipno   | record 5 frees lipno    | lipno      |
      | 1/4/lipno   | record 5 frees lipno    | lipno      |

  Scenario: the operator's records
    # Guards against: a record that some readers take for an evacuation and
    # others do not, and invalid ones that hide the others.
    Given the operator has written and taken back evacuations
    Then a read of the whole topic tells those in force
    And a read from a position tells each change

  # Load: one call for each draw; no network.
  Scenario: calls leave out the endpoints of an evacuated data centre
    Given endpoints of v1 in lipno and tabor and of v2 in lipno
    When lipno is evacuated
    Then no call goes to lipno, and v2 gets none
    And a version that is only in lipno can carry no share of a rollout
    When lipno is no longer evacuated
    Then its endpoints start with a small share of the calls

  Scenario: calls have nowhere to go
    Given endpoints of v1 in lipno and tabor and of v2 in lipno
    When lipno and tabor are evacuated
    Then no version is chosen and nothing fails

  Scenario: the node beside a target there
    # Guards against: calls of nodes that do not know the evacuation yet, and
    # waiting ones that reach the target later.
    Given a target with one slot that runs a call while another one waits
    When its node learns that its data centre is evacuated
    Then the waiting call and new and nested ones are refused as not run
    And the running call is answered, and the target got no other one
    And a call after the end of the evacuation is answered

  # Load: 24 nodes, one evacuation; nodes restart while the log is out.
  Scenario: all nodes know an evacuation, also those that restart
    Given a fast fleet of 24 nodes in lipno, tabor that has settled
    When the roots read that lipno is evacuated
    Then within 2 seconds every node evacuates lipno
    When half of the nodes restart while the log is out
    Then each knows the evacuation before it has a configuration
    When one root reads that lipno is free again
    Then within 2 seconds every node evacuates nothing

  # Load: 30 requests a second by four nodes, whose targets are all used. The
  # remaining two targets can take them on a busy machine.
  Scenario: no request reaches an evacuated data centre
    Given nodes of kvoty in lipno, lipno, tabor and tabor on the platform
    And the operator publishes a route to all of their targets
    When the operator evacuates lipno
    And 30 requests a second are sent for 8 seconds
    Then no target in lipno gets a request later than 5 seconds
    And requests that run when it begins are answered by their targets
    And at least 99 of 100 requests are answered
    When the store is out and the nodes of lipno restart
    And 30 requests a second are sent for 4 seconds
    Then no target in lipno gets a request later than 5 seconds
    When the store is back and the operator takes the evacuation back
    Then every target gets requests again
