Feature: The program arbutusstall-note
  Operators publish releases and read their outcomes.

  Scenario: publishing the same file twice
    Given the platform log
    And the release file base.note.json that adds kvoty
    When arbutusstall-note runs "publish FILE"
    Then it exits with 0 and prints "base: accepted at offset 0"
    When arbutusstall-note runs "publish FILE"
    Then it exits with 0 and prints "base: already published, nothing changes"
    And the log holds 1 record

  Scenario: the same name with other content
    Given the platform log
    And the release file base.note.json that adds kvoty
    When arbutusstall-note runs "publish FILE"
    And the file changes to withdraw kvoty
    And arbutusstall-note runs "publish FILE"
    Then it exits with 1 and reports the error "a release of this name was accepted with other content at offset 0"
    And the log holds 1 record

  Scenario: a release that does not fit is refused before it is appended
    Given the platform log
    And the release file bad.note.json with a route to an unknown service
    When arbutusstall-note runs "publish FILE"
    Then it exits with 1 and reports the error "$.add.routes[0].service: route//vazeni names the unknown service vazeni"
    And the log holds 0 records
    When arbutusstall-note runs "check FILE"
    Then it exits with 1 and reports the error "names the unknown service vazeni"

  Scenario Outline: an append whose answer is lost
    Given the platform log
    And the release file base.note.json that adds kvoty
    When the log's faults are <faults>
    And arbutusstall-note runs "publish FILE --timeout 2"
    Then it exits with <code> and prints "<text>"
    When the log's faults are {}
    And arbutusstall-note runs "publish FILE --format json"
    Then it exits with 0 and prints "<later>"
    And the log's release base is accepted once

    Examples:
      | faults                                       | code | text     | later                |
      | {"lose_answers": true}                       | 0    | accepted | "result":"unchanged" |
      | {"lose_answers": true, "out_after": 1} | 3    |          | "result":"unchanged" |
      | {"out": true}                                | 3    |          | "result":"accepted"  |

  Scenario: what a release would change
    Given the platform log
    And the release file base.note.json that adds kvoty
    When arbutusstall-note runs "diff FILE"
    Then it exits with 0 and prints "+ service/kvoty"
    And it prints "+ route//kvoty: kvoty, 5000 ms, not idempotent"
    And it prints "+ shares/kvoty: v1 100%"
    When arbutusstall-note runs "publish FILE"
    And arbutusstall-note runs "diff FILE"
    Then it exits with 0 and prints "nothing changes"
    And the file changes to withdraw kvoty under another name
    When arbutusstall-note runs "diff FILE --format json"
    Then it exits with 0 and prints "[{"sign":"-","key":"route//kvoty""

  Scenario: status and watch
    Given the platform log
    And the release file base.note.json that adds kvoty
    When arbutusstall-note runs "publish FILE"
    And arbutusstall-note runs "status"
    Then it exits with 0 and prints "release base: accepted"
    And it prints "move base/kvoty: done first version of the service"
    When arbutusstall-note runs "status --format json"
    Then it exits with 0 and prints ""percent_by_version":{"v1":100.0}"
    When arbutusstall-note runs "watch --from-start --seconds 0.5"
    Then it exits with 0 and prints "0 release-accepted base"
    And it prints "0 move-done base/kvoty at v1 100%; first version of the service"

  Scenario: the log's address from a settings file
    Given the platform log
    And the release file base.note.json that adds kvoty
    And a settings file with the log's url
    When arbutusstall-note runs exactly "publish FILE --settings SETTINGS"
    Then it exits with 0 and prints "base: accepted at offset 0"
    And a settings file with the log's url and an unknown key
    When arbutusstall-note runs exactly "status --settings SETTINGS"
    Then it exits with 1 and reports the error "$.urll: unknown key 'urll'"

  Scenario: watch ends when it is interrupted
    Given the platform log
    And the release file base.note.json that adds kvoty
    When a process watches the log and a release is published
    Then the process prints "release-accepted base" and ends with 0 when interrupted

  Scenario Outline: watch ends on a signal that its parent ignores
    Given the platform log
    And the release file base.note.json that adds kvoty
    When a process watches the log, started with <signal> ignored
    Then the process prints "release-accepted base" and ends with 0 on <signal>

    Examples:
      | signal  |
      | SIGINT  |
      | SIGTERM |

  Scenario Outline: a command line that cannot be used
    Given the platform log
    And the release file base.note.json that adds kvoty
    When arbutusstall-note runs exactly "<arguments>"
    Then it exits with 2 and reports the error ""

    Examples:
      | arguments                              |
      | bogus                                  |
      | publish                                |
      | publish FILE                           |
      | publish FILE --bogus                   |
      | publish FILE --log nowhere             |
      | status --log http://x --timeout soon   |
      | status --log http://x --format yaml    |

  Scenario Outline: every command has help
    When arbutusstall-note runs exactly "<command> --help"
    Then it exits with 0 and prints "<command>"

    Examples:
      | command |
      | check   |
      | publish |
      | status  |
      | diff    |
      | watch   |

  Scenario: publish --wait says who lacks the release
    Given a mesh of 3 nodes of service kvoty in lipno
    And the release file base.note.json that adds kvoty
    When arbutusstall-note runs "publish FILE --wait"
    Then it exits with 0 and prints "in force on 3 of 3 nodes"
    When a node that is no root is frozen
    And the file changes to withdraw kvoty under another name
    And arbutusstall-note runs "publish FILE --wait --timeout 3"
    Then it exits with 3 and its error names the frozen node
    When the frozen node resumes
    And arbutusstall-note runs "publish FILE --wait"
    Then it exits with 0 and prints "in force on 3 of 3 nodes"

  Scenario: publish --wait asks on while a root is down
    Given a mesh of 2 nodes of service kvoty in lipno
    And the release file base.note.json that adds kvoty
    When all roots are killed
    And arbutusstall-note runs "publish FILE --wait --timeout 2"
    Then it exits with 3 and reports the error "no answer from"
