Feature: Distribution tree
  Roots read the log, everybody else streams from a parent.

  Scenario: the position of a dead root is taken once and then kept
    Given a fleet of 40 nodes in lipno, svet that has settled
    When a root dies
    Then all positions are held again within 20 seconds
    And no position changes hands for 60 seconds
    And the fleet's log took at most 20 appends a second

  Scenario: a root that was frozen past its expiry steps down
    Given a fleet of 40 nodes in lipno, svet that has settled
    When a root is frozen for 40 seconds
    Then it is no root any more and has a parent within 10 seconds
    And 6 nodes are roots

  Scenario Outline: a root that was frozen takes no living node for dead
    Given a fast fleet of 30 nodes in lipno that has settled
    When a root is frozen for <seconds> seconds
    Then no node takes a living node for dead for 10 seconds

    Examples:
      | seconds |
      | 4       |
      | 6       |
      | 12      |

  Scenario: all roots of a data centre die at once
    Given a fleet of 60 nodes in lipno, svet that has settled
    When all roots of lipno die
    Then all positions are held again within 30 seconds
    And a release to the fleet is in force everywhere within 4 seconds

  Scenario: a data centre that returns at once spares the log
    Given a fleet of 240 nodes in lipno, svet that has settled
    When the fleet's log answers after 200 milliseconds
    And all nodes of lipno are gone for 30 seconds and come back as new
    Then all positions are held again within 20 seconds
    And the fleet's log took at most 40 appends a second
    And nobody lost a position that it had taken
    And a release to the fleet is in force everywhere within 4 seconds

  Scenario: an outage of the log costs no root its position
    Given a fleet of 40 nodes in lipno, svet that has settled
    When the fleet's log is out for 120 seconds
    Then no position changes hands for 60 seconds
    And a release to the fleet is in force everywhere within 4 seconds

  Scenario: a node that starts while the log is out asks the seeds
    Given a fleet of 20 nodes in lipno that has settled
    When the fleet's log is out
    And a node starts that knows two seeds
    Then the new node has the configuration within 10 seconds

  Scenario Outline: a node that restarts while the log is out is invited
    Given a fast fleet of 30 nodes in lipno that has settled
    When the fleet's log is out
    And a <kind> is killed and starts again after <seconds> seconds
    Then the new node has the configuration within 3 seconds

    Examples:
      | kind   | seconds |
      | leaf   | 1       |
      | parent | 1       |
      | leaf   | 4       |

  Scenario Outline: churn makes no loop and moves only orphans
    Given a fleet of 120 nodes in lipno, svet that has settled
    When 60 nodes die and start again at random with seed <seed>
    Then no tree fault was seen
    And only nodes that lost their parent have another one
    And a release to the fleet is in force everywhere within 4 seconds

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |

  Scenario: a link never leads up
    Given a node with label 2 and a child
    Then it refuses a joiner with children and label 2
    And it admits a joiner with children and label 3
    And it leaves a parent that turns out to have label 2
    And it accepts a parent that turns out to have label 1

  Scenario: a second welcome of the parent does not end the link
    Given a node with label 2 and a child
    Then it keeps a parent that welcomes it twice

  Scenario: an invitation is no sign of life of a link
    Given a node with label 2 and a child
    Then it drops a silent parent that goes on inviting it

  Scenario: a parent that goes silent is replaced
    Given a fleet of 60 nodes in lipno that has settled
    When the link of a child to its parent goes silent
    Then the child has another parent within 12 seconds
    And it kept its configuration all the time

  Scenario: a link that works one way only is replaced
    Given a fleet of 60 nodes in lipno that has settled
    When a child hears nothing from its parent
    Then the child has another parent within 12 seconds
    And it kept its configuration all the time

  Scenario: a node that stops hands its children over first
    Given a fleet of 120 nodes in lipno that has settled
    When a node with children stops
    Then its children have other parents within 5 seconds
    And none of them was without a parent

  Scenario: nodes read the source themselves when their roots cannot
    Given a small fleet of 12 nodes in lipno, svet that has settled
    When the source turns the roots of lipno away
    Then after 3 seconds no node but the roots reads the log
    When the source turns the roots of lipno, svet away
    Then after 3 seconds every node reads the log
    When the source serves the roots of svet again
    Then after 6 seconds no node but the roots reads the log

  Scenario: regions that are cut from each other serve and heal
    Given a fleet of 80 nodes in lipno, svet that has settled
    When lipno and svet are cut from each other for 150 seconds
    Then nobody took a node of the other side for dead
    And a release to the fleet is in force everywhere within 4 seconds
    When the cut is healed
    Then the roots know each other again within 20 seconds
    And the fleet's log took at most 20 appends a second

  Scenario: every root states the progress of the whole mesh
    Given a fleet of 60 nodes in lipno, svet that has settled
    When a node without children is frozen
    And a release is published to the fleet
    Then every root counts 60 known and 59 in force and names it
    When it is thawed
    Then every root counts 60 known and 60 in force
