Feature: A store that comes back from an older copy
  The header Store-Era rises by one each time. Offsets go back then and are
  assigned again, so what was read in two eras must not be mixed.

  Scenario: the client reports the era of each answer
    Given a store in era 3 with 4 records in a topic
    Then reads of kept, newest and missing records tell era 3
    And without the header they tell era 0

  Scenario: an answer of an earlier era is refused
    # Guards against an answer that left the store before it was rewound.
    Given a store in era 3 with 4 records in a topic
    When the client has seen era 4 and an answer of era 3 arrives
    Then the read fails as unavailable

  Scenario: a conditional append is not confirmed across eras
    # Guards against an offset that has the same number in another era.
    Given a store in era 3 with 4 records in a topic
    When the store is rewound by 0 records after a read of the topic
    Then an append at the end that was read is not confirmed

  Scenario Outline: the source is read anew in a new era
    Given a source's worker that has read versions 3, 4 and 5 in era 1
    When the store is rewound by <count> records and the operator publishes <next>
    Then the worker reports era 2 before it delivers version <next> once
    And each read was confirmed after its events, with era and send time

    Examples:
      | count | next |
      | 0     | 6    |
      | 1     | 6    |
      | 3     | 6    |
      | 3     | 3    |

  Scenario: the log's reader reports a new era before its entries
    Given a log's worker that has read 4 records in era 1
    When the store is rewound by 2 records
    Then the worker reports era 2, and its reads tell it

  Scenario: nodes on the platform go on in a new era
    Given nodes on the platform for kvoty, kvoty and vazeni
    And the store reports era 1, in which a node leads
    And the operator publishes version 3 with routes to both services
    When the platform's store loses the newest 6 records of each topic
    And the operator publishes version 8 that moves a route to vazeni
    Then within 10 seconds every node routes by version 8
    And within 20 seconds a node leads in era 2 and the roster has entries again
