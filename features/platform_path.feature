Feature: Nodes on the platform, against stand-ins of store and targets
  Scenario: requests reach the right target with the right headers
    Given nodes on the platform for kvoty, kvoty and vazeni
    When the operator publishes version 3 with routes to both services
    Then a request for each service is answered with its signature
    And its target got the caller's service and at most the route's deadline
    And a request without a route gets 404

  Scenario: a node without a configuration answers 503, not 404
    Given nodes on the platform for kvoty
    Then a request is refused with 503 and a Retry-After
    And the node is not ready

  Scenario: a new configuration is in force everywhere within 2 seconds
    Given nodes on the platform for kvoty, kvoty and vazeni
    When the operator publishes version 3 with routes to both services
    And the operator publishes version 8 that moves a route to vazeni
    Then within 2 seconds every node routes it to vazeni

  Scenario Outline: a version that is <what> stops no node's control
    # Guards against review/3: no message that named it could be encoded,
    # the control loops ended, and machines added later were never used.
    Given nodes on the platform for kvoty, kvoty and vazeni
    And the operator publishes version 3 with routes to both services
    When the operator publishes version <version> that moves a route to vazeni
    Then within 2 seconds every node routes it to vazeni
    When a machine for vazeni is added
    Then within 6 seconds every node uses its target
    And the status page of a node names version <version>

    Examples:
      | what                        | version                        |
      | a Unix time in seconds      | 1796463000                     |
      | a time in nanoseconds       | 1796463000000000000            |
      | a date and time in digits   | 20261205121500123456           |

  Scenario: a target that leaves gets nothing, and a restart does not forget
    Given nodes on the platform for kvoty and kvoty
    And the operator publishes version 3 with routes to both services
    When the first target reports that it drains
    Then 20 requests are all answered by the other target
    When its node is killed and a late heartbeat reaches the next process
    Then 20 requests are all answered by the other target

  Scenario: a restart in an outage does not forget that a target left
    # Pattern: a node is killed after it has acknowledged that its target
    # leaves, while the store cannot be written.
    Given nodes on the platform for kvoty and kvoty
    And the operator publishes version 3 with routes to both services
    When the store is out
    And the first target reports that it drains
    And its node is killed and a late heartbeat reaches the next process
    Then 20 requests are all answered by the other target

  Scenario: a target that left in an outage is not in use after a restart
    # Pattern: targets leave while the store cannot be written, and all
    # nodes restart later, the node of the target that left among them.
    Given nodes on the platform for kvoty and kvoty
    And the operator publishes version 3 with routes to both services
    When the store is out
    And the first target reports that it drains
    And its node stops
    And the store answers, and 15 seconds later all nodes start again
    Then 20 requests are all answered by the other target

  Scenario Outline: a departure acknowledged in an outage outlives <what>
    # Guards against review/5: the store cannot be written when a target
    # leaves, and no process that knows of the departure lives on.
    Given nodes on the platform for kvoty and kvoty
    And the operator publishes version 3 with routes to both services
    When the store is out
    And the first target leaves without draining and still serves
    And <what>
    Then for 4 seconds all requests are answered by the other target

    Examples:
      | what                                                    |
      | all nodes start again before the store answers          |
      | all nodes start again after the store answers           |
      | all nodes start again, and a late heartbeat arrives     |
      | the store answers, then all nodes start, and a late heartbeat arrives |

  Scenario Outline: a departure is answered in time while the store <fault>
    # Guards against a node that waits for the store before it answers.
    Given nodes on the platform for kvoty and kvoty
    And the operator publishes version 3 with routes to both services
    When the fault of the store is that it <fault>
    And the first node starts again
    Then its target drains and leaves, each answered within 1 second

    Examples:
      | fault                       |
      | is out                      |
      | takes 3 seconds             |
      | loses its answers           |

  Scenario: a departure is saved while the node stops
    # Guards against a node that gives up what it has acknowledged in an
    # outage as soon as it gets SIGTERM.
    Given nodes on the platform for kvoty and kvoty
    And the operator publishes version 3 with routes to both services
    When the store is out
    And the first target reports that it drains
    And its node is stopped and the store answers 0.5 seconds later
    Then the roster has the departure when the node has ended

  Scenario: a target that lives is in use soon after a restart in an outage
    Given nodes on the platform for kvoty and kvoty
    And the operator publishes version 3 with routes to both services
    When the store is out
    And the first node starts again
    Then within 3 seconds the second node is answered by the first target

  Scenario: a restarted mesh serves from the store alone
    Given nodes on the platform for kvoty and vazeni
    And the operator publishes version 3 with routes to both services
    When all nodes are killed and the targets send no heartbeats
    And the nodes are started again
    Then a request for each service is answered with its signature
    And targets that announce themselves again are not stored again

  Scenario: a lost answer of a booking is not sent again
    Given nodes on the platform for kvoty and kvoty
    And the operator publishes version 3 with routes to both services
    When the targets reset the connection of each request that they run
    Then a booking gets 502 and ran once
    And its time line leads from the caller's node to where the answer was lost

  Scenario: a change of the settings does not end the node
    Given nodes on the platform for kvoty
    And the operator publishes version 3 with routes to both services
    When the node gets SIGHUP with a changed, then with a broken file
    Then it logs each reload and still answers

  Scenario: a node that stops finishes what is in flight
    Given nodes on the platform for kvoty and kvoty
    And the operator publishes version 3 with routes to both services
    When a node is stopped while it waits for a slow target
    Then the answer arrives whole and the node ends with code 0

  Scenario Outline: random failures break no promise with seed <seed>
    When a soak with seed <seed> runs for 8 seconds
    Then no guarantee to callers and targets was violated

    Examples:
      | seed |
      | 1    |

  Scenario Outline: the soak finds a broken promise: <promise>
    Given a soak in which a booking ran <runs> times and got <status>
    Then it reports a violation of <promise>

    Examples:
      | runs | status | promise      |
      | 2    | 200    | at most once |
      | 1    | 503    | not run      |
      | 0    | 0      | planned stop |
      | 1    | 200    | nothing      |
      | 0    | 503    | nothing      |
