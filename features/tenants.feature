Feature: API keys of tenants
  # Load of all scenarios: single requests, at one node.
  Scenario Outline: <who> gets <status>
    # Guards against requests that run without a valid key, for another
    # tenant, or with a key or a tenant's name that the client chose.
    Given an outbound proxy with tenants, and a request that runs here
    When a request comes <who>
    Then its caller gets <status>
    And the target gets <tenant> and rank <rank>

    Examples:
      | who                                   | status | tenant    | rank |
      | with the key of hule930               | 200    | hule930   | 13   |
      | with the second key of hule930        | 200    | hule930   | 13   |
      | with the key of zabka                 | 200    | zabka     | 5    |
      | with a key and the scheme in capitals | 200    | zabka     | 5    |
      | with a key and another tenant's name  | 200    | zabka     | 5    |
      | with a key in other case              | 401    | nothing   | 0    |
      | with an unknown key                   | 401    | nothing   | 0    |
      | with two keys                         | 401    | nothing   | 0    |
      | with a password                       | 401    | nothing   | 0    |
      | without a key                         | 401    | nothing   | 0    |
      | without a key to no route             | 401    | nothing   | 0    |
      | with a key to no route                | 404    | nothing   | 0    |
      | without a key to an exempt route      | 200    | no tenant | 1    |
      | with a key to an exempt route         | 200    | no tenant | 1    |
      | from the running request              | 200    | no tenant | -1   |
      | from a request that runs elsewhere    | 503    | nothing   | 0    |

  Scenario: without tenants requests are served as before
    # Guards against a deployment without tenants that loses a header of its
    # clients.
    Given an outbound proxy without tenants
    When a request comes with the key of hule930
    Then its caller gets 200
    And the target gets the headers of the client

  Scenario: before the first configuration no key is refused
    # Guards against 401 or 404 from a node that has just started.
    Given an outbound proxy without a configuration
    When a request comes without a key
    Then its caller gets 503

  Scenario: keys follow the configuration
    # Guards against an index of keys that outlives its configuration.
    Given an outbound proxy with tenants, and a request that runs here
    When the key of zabka is moved to hule930 by a new configuration
    And a request comes with the key of zabka
    Then the target gets hule930 and rank 13

  Scenario: tenants are decoded, and their keys are not kept
    When the operator publishes tenants, an exempt route and regions
    Then they are decoded with digests in place of the keys

  Scenario: a configuration in which two tenants share a key is skipped
    # Guards against requests that are counted for, or run as, either tenant.
    When the operator publishes two tenants that share a key
    Then one line names both tenants and not the key

  Scenario: a tenant over its quota is refused
    # Guards against refused requests that run, and 429 without Retry-After.
    Given an outbound proxy whose gate refuses for 250 ms
    When a request comes with the key of zabka
    Then its caller gets 429
    And its caller is told to retry after 0.250 s
    And the target gets nothing and rank 0

  Scenario: a request that ended while it waited for its quota is dropped
    # Guards against work for a client that has gone.
    Given an outbound proxy whose gate answers late
    When a request comes with the key of zabka, and its client goes
    Then the target gets nothing and rank 0

  Scenario: each attempt that may reach a target is counted
    # Guards against retries that exceed a quota.
    Given an outbound proxy whose gate admits one attempt
    When the first attempt for zabka is lost
    Then its caller gets 502
    And the gate was asked 2 times

  Scenario: nested calls and exempt routes do not count
    Given an outbound proxy whose gate refuses for 250 ms
    When a request comes without a key to an exempt route
    And a request comes from the running request
    Then the gate was asked 0 times

  Scenario: a key appears nowhere but in the client's request
    # Guards against keys in log lines, metrics, errors and targets' logs.
    Given nodes on the platform for kvoty, kvoty
    When requests with valid and unknown keys are sent through all nodes
    Then no log, metric, status, answer or target's request has a key

  # Guards against: requests of tenants of one priority are served in order of
  # arrival, and cheap certificates wait behind long reads of archives.
  Scenario: routes order the requests of tenants of the same priority
    Given tenants of priority 1 and 2, and routes of priority 0 and 2
    Then both routes of the first tenant go before those of the second
    And of each tenant the route of priority 0 goes first
