Feature: Distribution tree
  Root nodes read the log; every other node receives updates from its
  parent.

  Scenario: the position of a dead root is taken once and then kept
    Given a fleet of 40 nodes in lipno, svet that has settled
    When a root dies
    Then all root positions are held again within 20 seconds
    And no root position changes its holder for 60 seconds
    And the fleet's log received at most 20 appends a second

  Scenario: a root that was frozen past its expiry steps down
    Given a fleet of 40 nodes in lipno, svet that has settled
    When a root is frozen for 40 seconds
    Then it is no longer a root and has a parent within 10 seconds
    And 6 nodes are roots

  Scenario Outline: a root that was frozen takes no living node for dead
    Given a fast fleet of 30 nodes in lipno that has settled
    When a root is frozen for <seconds> seconds
    Then no node declares a live node dead for 10 seconds

    Examples:
      | seconds |
      | 4       |
      | 6       |
      | 12      |

  Scenario: all roots of a data centre die at once
    Given a fleet of 60 nodes in lipno, svet that has settled
    When all roots of lipno die
    Then all root positions are held again within 30 seconds
    And a release to the fleet is in force everywhere within 4 seconds

  Scenario: a data centre that returns at once spares the log
    Given a fleet of 240 nodes in lipno, svet that has settled
    When the fleet's log answers after 200 milliseconds
    And all nodes of lipno are killed and replaced by new ones after 30 seconds
    Then all root positions are held again within 20 seconds
    And the fleet's log received at most 40 appends a second
    And no node lost a root position that it had claimed
    And a release to the fleet is in force everywhere within 4 seconds

  Scenario: an outage of the log costs no root its position
    Given a fleet of 40 nodes in lipno, svet that has settled
    When the fleet's log is out for 120 seconds
    Then no root position changes its holder for 60 seconds
    And a release to the fleet is in force everywhere within 4 seconds

  Scenario: a node that starts while the log is out asks the seeds
    Given a fleet of 20 nodes in lipno that has settled
    When the fleet's log is out
    And a node with two seed addresses starts
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
    And only nodes whose parent died have a different parent
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
    And it closes the link to a parent whose welcome has label 2
    And it keeps the link to a parent whose welcome has label 1

  Scenario: a second welcome of the parent does not end the link
    Given a node with label 2 and a child
    Then it keeps the link to a parent that sends two welcomes

  Scenario: an invitation is no sign of life of a link
    Given a node with label 2 and a child
    Then it drops a silent parent that keeps sending invitations

  Scenario: a parent that goes silent is replaced
    Given a fleet of 60 nodes in lipno that has settled
    When the link of a child to its parent goes silent
    Then the child has another parent within 12 seconds
    And it had a configuration throughout, and always the same

  Scenario: a link that works one way only is replaced
    Given a fleet of 60 nodes in lipno that has settled
    When a child receives nothing from its parent
    Then the child has another parent within 12 seconds
    And it had a configuration throughout, and always the same

  Scenario: a node that stops hands its children over first
    Given a fleet of 120 nodes in lipno that has settled
    When a node with children stops
    Then its children have other parents within 5 seconds
    And none of them was ever without a parent

  Scenario: nodes read the source themselves when their roots cannot
    Given a small fleet of 12 nodes in lipno, svet that has settled
    When the source refuses requests from the roots of lipno
    Then after 3 seconds no node except the roots reads the log
    When the source refuses requests from the roots of lipno, svet
    Then after 3 seconds every node reads the log
    When the source answers the roots of svet again
    Then after 6 seconds no node except the roots reads the log

  Scenario: regions that are cut from each other serve and heal
    Given a fleet of 80 nodes in lipno, svet that has settled
    When a network partition separates lipno and svet for 150 seconds
    Then no node declared a node of the other side dead
    And a release to the fleet is in force everywhere within 4 seconds
    When the partition ends
    Then all roots are linked to each other within 20 seconds
    And the fleet's log received at most 20 appends a second

  Scenario: every root states the progress of the whole mesh
    Given a fleet of 60 nodes in lipno, svet that has settled
    When a node without children is frozen
    And a release is published to the fleet
    Then every root counts 60 known nodes and 59 in force, and names the frozen one
    When it resumes
    Then every root counts 60 known nodes and 60 in force

  Scenario Outline: survivors hand the configuration to restarted nodes
    # Pattern: most nodes are killed while the log is out, and start again.
    Given a fast fleet of <count> nodes in <centres> that has settled
    And one node has left the fleet for good
    When the fleet's log is out
    And all but <survivors> nodes are killed and start again within 1 second
    Then each node has the configuration 0.5 seconds after the last start
    And each of them knows the nodes that are left, and only these
    When the fleet's log answers again
    Then a release to the fleet is in force everywhere within 4 seconds

    Examples:
      | count | centres                       | survivors |
      | 13    | lipno, svet, susarna, rozberk | 1         |
      | 13    | lipno, svet, susarna, rozberk | 6         |
      | 65    | lipno, svet, susarna, rozberk | 1         |
      | 65    | lipno, svet, susarna, rozberk | 29        |

  Scenario: nodes that nobody has lost are not invited all the time
    Given a fast fleet of 40 nodes in lipno, svet that has settled
    When the fleet's log is out for 30 seconds
    Then no node has sent more than 40 messages a second meanwhile
