Feature: Cold targets get no more requests than they can take
  # The bound is that of docs/SCOPE.md: in no second more than the rate
  # times 1.5 and 8 requests.

  # Guards against: 20 requests in a second at a target that takes 18.5.
  Scenario Outline: a cold target at <rate> requests a second
    Given a cold target that takes <rate> requests a second
    When <load> requests a second arrive for 20 s, in bursts of <burst>
    Then no second has more than <most> requests to it
    And it gets at least <least> requests in all

    Examples:
      | rate | load  | burst | most | least |
      | 0.5  | 100   | 1     | 8    | 8     |
      | 7    | 200   | 1     | 18   | 120   |
      | 7    | 60    | 60    | 18   | 80    |
      | 40   | 1000  | 100   | 68   | 700   |

  Scenario Outline: whether the limit applies <when>
    # Guards against: a restarted node or a new start of the target that
    # sends a cold target all requests, and a warm one that is held back.
    Given a node with <configuration> whose target says <said>
    Then requests to it are <result>

    Examples:
      | when                         | configuration    | said                 | result      |
      | at a cold target             | a rate of 7      | cold for 5 s         | limited     |
      | at a warm target             | a rate of 7      | cold for 0 s         | not limited |
      | before the first heartbeat   | a rate of 7      | nothing              | limited     |
      | while the longest end counts | a rate of 7      | cold for 5 s, cold for 0 s | limited |
      | after the end                | a rate of 7      | cold for 0.1 s, wait | not limited |
      | at a new start               | a rate of 7      | cold for 0 s, restart | limited    |
      | without a bound              | no rate          | cold for 5 s         | not limited |
      | without a configuration      | the bounds only  | cold for 5 s         | limited     |
      | without any of these fields  | nothing          | nothing              | not limited |

  Scenario: a request that does not fit into a cold target
    # Guards against: nested calls that are refused in favour of new ones,
    # and callers that wait longer than the target is cold.
    Given a cold target that takes 7 requests a second
    When it gets new requests until one is refused
    Then a nested call is still admitted
    And the refusal ends no later than the coldness

  Scenario Outline: the health check of a target tells <cold>
    Given a health check of a target whose remaining coldness is <text>
    Then its coldness counts as <cold>

    Examples:
      | text  | cold    |
      | 4200  | 4.2 s   |
      | 0     | 0 s     |
      | none  | unknown |
      | soon  | unknown |
      | -5    | unknown |

  Scenario: where the bounds are named
    # Guards against: bounds of the settings and rates of the configuration
    # that have no effect.
    Given settings with the bounds coldOvershoot=1.25 and coldSlack=3
    And a configuration with the cold rates 7.5, 0, none and -1
    Then the bounds have reached the node's settings
    And only the rate 7.5 is set, and only -1 makes it invalid

  # Guards against: callers' nodes that do not send elsewhere at once what a
  # cold target cannot take, or that leave a cold target without requests.
  Scenario Outline: <callers> callers and <cold> cold targets of <all>
    Given <callers> callers and <all> endpoints of which <cold> are cold
    When <load> requests a second are sent for 10 seconds in virtual time
    Then each cold endpoint gets at most 18 and on average 4 in a second
    And at least <share> of 100 requests are accepted

    Examples: half of the capacity, and far too little
      | callers | all | cold | load | share |
      | 64      | 8   | 4    | 600  | 99    |
      | 3       | 8   | 4    | 600  | 99    |
      | 64      | 4   | 4    | 200  | 10    |

  # Guards against: a node that restarts beside a cold target.
  Scenario: the bound holds over restarts of the node beside a cold target
    Given nodes on the platform for kvoty and kvoty
    And the operator publishes a cold rate of 7 for kvoty
    When the first target becomes cold
    And 60 requests a second are sent for 6 seconds while its node restarts
    Then the cold target gets at most 18 requests in any second
