Feature: Moves of traffic between versions
  Good versions reach their share in time; bad versions are rolled back.

  Scenario Outline: a version that <kind> is taken back
    When a version that <kind> is released with 2 seeds
    Then every move is rolled back and its reason states the counts
    And the version gets no traffic anywhere within 2 s of the decision
    And its share was at most <percent> percent before the decision

    Examples:
      | kind               | percent |
      | fails at once      | 5       |
      | fails on one route | 8       |
      | fails later        | 40      |
      | fails under load   | 91      |
      | fails at the goal  | 100     |
      | slow at once       | 8       |
      | slow on one route  | 20      |
      | slow under load    | 91      |

  Scenario Outline: a good version is not taken back for <kind>
    When a version of kind <kind> is released with 2 seeds
    Then every move is done
    And the goal was in force everywhere in time

    Examples:
      | kind                       |
      | good                       |
      | cold starts                |
      | back end fails             |
      | back end slow              |
      | fast on a busy machine     |
      | back end fails at the goal |
      | always flaky               |

  Scenario Outline: few calls are enough for a verdict on <kind>
    When a version of kind <kind> is released at 8 calls a second
    Then every move is <verdict>

    Examples:
      | kind          | verdict     |
      | good          | done        |
      | fails at once | rolled back |

  Scenario: shares never rise while the log is out
    When a version of kind good is released and the log is out from 6 to 16 s
    Then no share rose while the log was out
    And every move is done

  Scenario: a bad version gets no traffic though the log is out
    When a version of kind fails later is released and the log is out from 10 to 30 s
    Then the version gets no traffic anywhere within 2 s of the decision
    And the decision came before the end of the outage
    And every move is rolled back and its reason states the counts

  Scenario: a version that turns bad at the goal while the log is out
    When a version of kind fails at the goal is released and the log is out from 24 to 50 s
    Then the version gets no traffic anywhere within 2 s of the decision
    And the decision came within 6 s of the outage's start
    And every move is rolled back and its reason states the counts

  Scenario: another leader goes on when the leader is paused
    When a version of kind good is released and the leader is paused from 8 to 18 s
    Then no share grew by more than the largest growth factor
    And every move is done
    And the goal was in force everywhere in time

  Scenario: a bad version is taken back while the leader is paused
    When a version of kind fails later is released and the leader is paused from 8 to 30 s
    Then every move is rolled back and its reason states the counts

  Scenario: a move waits for endpoints of the new version
    When a version with no endpoints is released
    Then the move is held for lack of endpoints and moves no traffic

  Scenario: a move takes no more than the slots carry
    When a version with slots for half of the calls is released
    Then the move is held for lack of capacity below 60 percent

  Scenario: a move that is held past its time goes on and says it is late
    When a version of kind good is released over 4 seconds
    Then every move is done
    And its state and its verdict state that it is late

  Scenario: a burst in one interval does not reject by itself
    Then bad calls in a single look never reject or suspect the version

  Scenario: share plans keep their rules
    Then 200 share plans reach the goal in time without exceeding the growth limit

  Scenario: wrong rollback messages have no effect
    Then 200 invalid rollback messages leave a node's state unchanged
    And a valid one rolls the version back at all nodes

  Scenario: decisions fold alike in any order and repetition
    Then 100 random decision histories satisfy the rules of the fold

  Scenario: doubled, lost and crossed reports change no counts
    Then 100 random deliveries of the same reports give the same counts

  Scenario: a later release ends a running move
    When a later release names other shares of the same service
    Then the first move is rolled back as superseded
    And the second starts from the shares before the first

  Scenario: a rolled-back version comes back only when named again
    When a version was rolled back and a later release names it again
    Then it is blocked before that release and not after it
    And 50 such moves leave a snapshot of bounded size
