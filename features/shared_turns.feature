Feature: Connections share the loop's time and the memory for answers
  # Decisions without a network; a clock that only steps advance.

  # Guards against: 200 connections with parsing of a second each keep a
  # client that sends one small request waiting until all are done.
  Scenario: little work goes before much work
    Given 200 connections with 1000 steps of 1 ms each, and 200 turns taken
    When another connection has one step of 1 ms
    Then that step runs after at most 2 further steps

  # Guards against: a connection that always has work takes turns from those
  # with as much work.
  Scenario: equal work takes equal time
    Given 4 connections with 1000 steps of 1 ms each, and 200 turns taken
    Then none has run over 1 step more than another

  # Guards against: small requests wait for a turn of the loop in calm.
  Scenario: a step runs at once while nothing waits
    Given 0 connections with 0 steps of 1 ms each, and 0 turns taken
    When another connection has one step of 1 ms
    Then that step runs after at most 0 further steps

  # Guards against: a turn of the loop goes on while there is work, and timers
  # and answers of targets wait.
  Scenario: a turn ends while work is left
    Given 50 connections with 1000 steps of 1 ms each, and 0 turns taken
    When one turn is taken
    Then at most 3 steps have run in it

  # Guards against: a step that fails ends the turns of all others.
  Scenario: a connection whose step fails is closed alone
    Given 2 connections with 5 steps of 1 ms each, and 0 turns taken
    When a connection fails in its step and all turns are taken
    Then only that connection was closed, and the others have run 10 steps

  # Guards against: connections that were closed stay in the queue, and fill
  # the memory while others come and go.
  Scenario: closed connections leave the queue
    Given 50 connections with 1000 steps of 1 ms each, and 100 turns taken
    When 40 of them are closed
    Then at most 20 are in the queue, and the others go on
    And nothing refers to those that were closed

  # Guards against: 40 clients that take no answers hold 40 MB of them.
  Scenario: the largest unsent answers give way
    Given a bound of 10000000 bytes for unsent answers
    When 40 clients have taken nothing of an answer of 1000000 bytes each
    And one client has taken nothing of an answer of 2000 bytes
    Then at most 10000000 bytes are unsent and that client is connected

  # Guards against: 30 bodies that drip keep all other bodies out.
  Scenario: the oldest incomplete bodies give way
    Given a register with a bound of 8000000 bytes of bodies
    When 8 connections hold 1000000 bytes of a body each, one of them complete
    And room for bodies is made
    Then the oldest incomplete body was refused and the complete one was not
