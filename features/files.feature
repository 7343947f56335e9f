Feature: Settings and release files
  A file is checked completely before a node starts or a release is
  published.

  Scenario Outline: a release file that cannot be used
    Given the file bad.note.json with <content>
    When arbutusstall-note checks it
    Then the exit code is 1 and the single error line names the file and "<reason>"

    Examples:
      | content                                                                                       | reason                                                        |
      | {"name": "a", "nmae": 1}                                                                      | $.nmae: unknown key 'nmae'                                    |
      | {"name": "a", "add": {"routes": [{"prefix": "/a", "service": "a", "x": 1}]}}                  | $.add.routes[0].x: unknown key 'x'                            |
      | {"name": 5}                                                                                   | $.name: Expected `str`, got `int`                             |
      | {"add": {}}                                                                                   | $: Object missing required field `name`                       |
      | {"name": "a", "shares": [{"service": "a", "percent_by_version": {"v": NaN}}]}                 | $.shares[0].percent_by_version.v: NaN is not a number         |
      | {"name": "a", "shares": [{"service": "a", "percent_by_version": {"v": 1e999}}]}               | $.shares[0].percent_by_version.v: the number is too large     |
      | {"name": "a", "shares": [{"service": "a", "percent_by_version": {"v": -1, "w": 101}}]}        | $.shares[0].percent_by_version.v: -1.0 is not in 0..100       |
      | {"name": "a", "shares": [{"service": "a", "percent_by_version": {"v": 60, "w": 60}}]}         | $.shares[0].percent_by_version: the sum is 120.0, not 100     |
      | {"name": "a", "shares": [{"service": "a", "percent_by_version": {}}]}                         | $.shares[0].percent_by_version: the sum is 0, not 100         |
      | {"name": "a", "withdraw": {"routes": ["/a"], "routes": ["/b"]}}                               | $.withdraw.routes: duplicate key 'routes'                     |
      | {"name": "a", "withdraw": {"routes": ["/a", "/a"]}}                                           | $.withdraw.routes[1]: route//a is named twice                 |
      | {"name": "a", "shares": [{"service": "a", "percent_by_version": {"v": 100}, "by": "2020-01-01T00:00:00Z"}]} | $.shares[0].by: the time has passed             |
      | {"name": "a", "shares": [{"service": "a", "percent_by_version": {"v": 100}, "by": "2099-01-01T00:00:00"}]}  | $.shares[0].by: the time has no zone            |
      | {"name": "a", "add": {"routes": [{"prefix": "a", "service": "a"}]}}                           | $.add.routes[0].prefix: a prefix is /                         |
      | {"name": "a", "add": {"routes": [{"prefix": "/a", "service": "a", "timeout_ms": 0}]}}         | $.add.routes[0].timeout_ms: 0 is not in                       |
      | {"name": "a"}                                                                                 | $: the release changes nothing                                |
      | {"name": "a", "add":                                                                          | $: not valid JSON                                             |
      | 50 MB of blanks                                                                               | $: the file is larger than 4194304 bytes                      |
      | a thousand brackets                                                                           | $: nested too deeply                                          |
      | bytes that are not UTF-8                                                                      | $: byte 9 is not UTF-8                                        |
      | a lone surrogate as key                                                                       | unknown key                                                   |
      | nothing                                                                                       | $: No such file or directory                                  |

  Scenario Outline: a settings file that cannot be used
    Given settings in which <path> is <value>
    When arbutusstall-node checks them
    Then the exit code is 1 and the single error line names the file and "<reason>"

    Examples:
      | path               | value              | reason                                              |
      | rollout.growth | 1 | $.rollout.growth: 1.0 is below 1.01 |
      | rollout.growth_max | 1.2 | $.rollout.growth_max: 1.2 is below 1.6 |
      | rollout.false_rollbacks | 0 | $.rollout.false_rollbacks: 0.0 is not above 0 |
      | rollout.headroom | 1.5 | $.rollout.headroom: 1.5 is not in 0..1 |
      | rollout.few_calls | 31 | $.rollout.min_calls: 30 is below 31 |
      | calls.retry_share | 2 | $.calls.retry_share: 2.0 is not in 0..1 |
      | relay.root_expire_s | 6 | $.relay.root_expire_s: 6.0 is below 10.0 |
      | advertise.inbound | "vazeni-1:80" | $.advertise.inbound: an address is IP:PORT |
      | node               | ""                 | $.node: an id has                                   |
      | addresses.admin    | "localhost:80"     | $.addresses.admin: an address is IP:PORT            |
      | addresses.admin    | "10.0.0.1:0"       | $.addresses.admin: an address is IP:PORT            |
      | addresses.admin    | "10.0.0.1:99999"   | $.addresses.admin: an address is IP:PORT            |
      | addresses.admin    | "127.0.10.1:8080"  | $.addresses.admin: 127.0.10.1:8080 is used twice    |
      | seeds              | ["10.0.0.1"]       | $.seeds[0]: an address is IP:PORT                   |
      | log.url            | "log:9090"         | $.log.url: the URL                                  |
      | log.poll_s         | 0                  | $.log.poll_s: 0.0 is not above 0                    |
      | lease              | {"renew_s": 3}     | $.lease.expire_s: 4.0 is below 6.0                  |
      | tick_s             | -1                 | $.tick_s: -1.0 is not above 0                       |
      | calls.slots        | 1.5                | $.calls.slots: Expected `int`, got `float`          |
      | log_level          | "LOUD"             | $.log_level: the log level is not one of DEBUG      |
      | checkpoint         | {"every": 1}       | $.checkpoint.every: unknown key 'every'             |
      | rollout            | {"first_percent": 101} | $.rollout.first_percent: 101.0 is not in 0..100 |

  Scenario: no content makes the decoding fail in another way
    Then 300 generated byte strings are refused with InvalidFile or accepted
    And 300 generated JSON values are refused with InvalidFile or accepted
    And 300 releases with one character replaced are refused or fold without error

  Scenario: the examples work
    Then every example file passes its check
    And the examples have the size of the users' meshes
    And the releases of each example are accepted one after the other

  Scenario: the committed schemas are current
    Then docs contains the current schemas of settings and releases
