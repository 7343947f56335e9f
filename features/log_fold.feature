Feature: Agreement by a fold over the log
  The agreed state is a deterministic function of the log up to an offset.

  Scenario: two releases on one item
    Given a log on which release base added kvoty and its route
    When releases red and blue change the same route from the same state
    Then release red is accepted
    And release blue is refused with "$.change.routes[0]: route//kvoty was changed meanwhile, at offset 1, by release red"

  Scenario: two releases on different items
    Given a log on which release base added kvoty and its route
    When releases red and blue add different routes from the same state
    Then release red is accepted
    And release blue is accepted

  Scenario: a repeated refused release stays refused
    Given a log on which release base added kvoty and its route
    When releases red and blue change the same route from the same state
    And the record of blue is repeated
    Then release blue is refused with "$.change.routes[0]: route//kvoty was changed meanwhile, at offset 1, by release red"

  Scenario: a refused release can be published again
    Given a log on which release base added kvoty and its route
    When releases red and blue change the same route from the same state
    And blue is published again from the current state
    Then release blue is accepted

  Scenario Outline: releases that do not fit are refused by name
    Given a log on which release base added kvoty and its route
    When the release <release> is appended
    Then release next is refused with "<reason>"

    Examples:
      | release                                                                          | reason                                                                    |
      | {"add": {"services": [{"name": "kvoty"}]}}                                       | $.add.services[0]: service/kvoty exists and cannot be added               |
      | {"add": {"routes": [{"prefix": "/kvoty", "service": "kvoty"}]}}                  | $.add.routes[0]: route//kvoty exists and cannot be added                  |
      | {"change": {"services": [{"name": "prodej"}]}}                                   | $.change.services[0]: service/prodej does not exist                       |
      | {"change": {"routes": [{"prefix": "/x", "service": "kvoty"}]}}                   | $.change.routes[0]: route//x does not exist                               |
      | {"withdraw": {"services": ["prodej"]}}                                           | $.withdraw.services[0]: service/prodej does not exist                     |
      | {"withdraw": {"routes": ["/x"]}}                                                 | $.withdraw.routes[0]: route//x does not exist                             |
      | {"withdraw": {"services": ["kvoty"]}}                                            | $.withdraw.services: route//kvoty names the unknown service kvoty         |
      | {"add": {"routes": [{"prefix": "/x", "service": "prodej"}]}}                     | $.add.routes[0].service: route//x names the unknown service prodej        |
      | {"shares": [{"service": "prodej", "percent_by_version": {"v1": 100}}]}           | $.shares[0].service: the item names the unknown service prodej            |
      | {"shares": [{"service": "kvoty", "percent_by_version": {"v1": 60}}]}             | $.shares[0].percent_by_version: the sum is 60.0, not 100                  |

  Scenario: a service with a running move cannot be withdrawn
    Given a running move and a lease held by kvoty-0
    When a release withdraws kvoty and its route
    Then release gone is refused with "$.withdraw.services[0]: service/kvoty has the running move to-v2/kvoty"

  Scenario: a release on a service with a running move ends that move
    Given a running move and a lease held by kvoty-0
    When a release moves kvoty to v3
    Then the move to-v2/kvoty is rolled back and names the release

  Scenario Outline: a damaged record is skipped as a whole
    Given a log on which release base added kvoty and its route
    When there is <damage> on the log, and then release next adds /next
    Then release next is accepted
    And exactly one record was skipped

    Examples:
      | damage                        |
      | a truncated record            |
      | bytes that are not UTF-8      |
      | a record of unknown kind      |
      | a record of the wrong type    |
      | a record that fails the fold  |

  Scenario: the agreed state is bounded and a forgotten name is not used twice
    Given a log on which release base added kvoty and its route
    When 6000 releases change the route, one after the other
    Then at most 5500 outcomes are kept
    And repeating the record of the first of them changes nothing
    And publishing the first of them again is refused with "$.name: an earlier release had this name; its outcome is not kept"

  Scenario: a repeated record older than all that is remembered
    Given a log on which release base added kvoty and its route
    And only 20 outcomes and 5 forgotten names are kept
    When a release adds /x, another withdraws it, and 60 more follow
    Then repeating the first record does not add /x again

  Scenario: any repetition and any split into reads give the same state
    Then 60 generated logs fold to the same state with records repeated
    And 60 generated logs fold to the same state for any split into reads
    And 60 generated logs fold to the same state from any checkpoint
