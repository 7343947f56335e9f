Feature: Clients that ignore the limits on requests
  # Two nodes on the platform run as processes; the route leads from the
  # first to the target of the second. Memory is VmHWM of each process, with
  # 100 MB in the settings; descriptors are sampled, with 300 in the
  # settings. 20 clients send for 3 seconds, or 400 where the connections
  # themselves are the load.
  # The address for other nodes is that of the second.

  # Guards against: a process ends, hangs, or exhausts its memory or
  # descriptors by requests that are legal one by one, or never complete.
  Scenario Outline: a crowd sends <kind> to the address for <address>
    Given two nodes on the platform with settings for a small machine
    When a crowd sends <kind> to the address for <address>
    Then each node lives and has used at most 100 MB and 300 descriptors
    And an ordinary request is answered afterwards

    Examples:
      | kind                                                   | address     |
      | legal heads of short lines                             | callers     |
      | bookings that nobody waits for                         | callers     |
      | lines with odd names and no values                     | callers     |
      | heads over the limit                                   | callers     |
      | a header value without end                             | callers     |
      | a target without end                                   | callers     |
      | empty lines without end                                | callers     |
      | trailers without end                                   | callers     |
      | chunk extensions without end                           | callers     |
      | tiny requests without end                              | callers     |
      | parts of heads on 400 connections                      | callers     |
      | nothing on 400 connections                             | callers     |
      | lines with odd names and no values                     | heartbeats  |
      | a header value without end                             | heartbeats  |
      | large heartbeats                                       | heartbeats  |
      | parts of heads on 400 connections                      | readiness   |
      | lines with odd names and no values                     | metrics     |
      | legal heads of short lines                             | heartbeats  |
      | heads over the limit                                   | heartbeats  |
      | empty lines without end                                | heartbeats  |
      | trailers without end                                   | heartbeats  |
      | legal heads of short lines                             | readiness   |
      | lines with odd names and no values                     | readiness   |
      | heads over the limit                                   | readiness   |
      | a header value without end                             | readiness   |
      | empty lines without end                                | readiness   |
      | trailers without end                                   | readiness   |
      | legal heads of short lines                             | metrics     |
      | heads over the limit                                   | metrics     |
      | a header value without end                             | metrics     |
      | empty lines without end                                | metrics     |
      | trailers without end                                   | metrics     |
      | bodies in one-byte chunks                              | callers     |
      | bodies in one-byte chunks on 400 connections           | callers     |
      | bodies in one-byte chunks on 400 connections           | heartbeats  |
      | bodies without their last byte on 400 connections      | callers     |
      | bodies that drip on 400 connections                    | callers     |
      | bodies that drip on 400 connections                    | heartbeats  |
      | requests whose answers nobody takes                    | callers     |
      | requests whose answers nobody takes on 400 connections | callers     |
      | scrapes whose answers nobody takes                     | metrics     |
      | scrapes on 400 connections                             | metrics     |
      | nothing on 400 connections                             | heartbeats  |
      | nothing on 400 connections                             | metrics     |
      | frames that never end                                  | other nodes |
      | parts of frames on 400 connections                     | other nodes |
      | frames over the limit                                  | other nodes |
      | empty frames without end                               | other nodes |
      | calls of very many header lines                        | other nodes |
      | calls with large bodies                                | other nodes |
      | compressed frames that grow                            | other nodes |
      | greetings whose answers nobody takes                   | other nodes |
      | parts of bodies of no call                             | other nodes |
      | calls whose bodies never come                          | other nodes |
      | nothing on 400 connections                             | other nodes |
      | legal heads of short lines                             | other nodes |
      | lines with odd names and no values                     | other nodes |
      | heads over the limit                                   | other nodes |
      | a header value without end                             | other nodes |
      | empty lines without end                                | other nodes |
      | trailers without end                                   | other nodes |

  # Guards against: a limit that also refuses what the configuration allows.
  Scenario: a legal head of 16 KB in lines of 5 bytes is served alone
    Given two nodes on the platform with settings for a small machine
    When one legal head of 16 KB in lines of 5 bytes is sent
    Then that request is served by the target of the other node

  # Guards against: one address or one connection takes all turns of the
  # processor, so that callers elsewhere wait without end.
  Scenario Outline: an ordinary request is answered beside a crowd of <kind> at <address>
    Given two nodes on the platform with settings for a small machine
    When a crowd that goes on sends <kind> to the address for <address>
    Then an ordinary request is answered meanwhile
    And each node lives and has used at most 100 MB and 300 descriptors

    Examples:
      | kind                                         | address     |
      | bodies in one-byte chunks                    | callers     |
      | bodies in one-byte chunks on 400 connections | callers     |
      | tiny requests without end                    | callers     |
      | bodies in one-byte chunks on 400 connections | heartbeats  |
      | scrapes on 400 connections                   | metrics     |
      | scrapes whose answers nobody takes           | metrics     |
      | empty frames without end                     | other nodes |
      | calls of very many header lines              | other nodes |
      | compressed frames that grow                  | other nodes |

  # Guards against: bodies that drip hold the budget, and no other is taken.
  Scenario: an ordinary upload is answered beside a crowd of bodies that drip
    Given two nodes on the platform with settings for a small machine
    When a crowd that goes on sends bodies that drip on 400 connections to the address for callers
    Then an ordinary upload of 300 KB is answered meanwhile
    And each node lives and has used at most 100 MB and 300 descriptors

  # Guards against: bounds that hold one by one and not together.
  Scenario Outline: crowds send <kind> to <address> and <other kind> to <other address>
    Given two nodes on the platform with settings for a small machine
    When crowds send <kind> to <address> and <other kind> to <other address>
    Then each node lives and has used at most 100 MB and 300 descriptors
    And an ordinary request is answered afterwards

    Examples:
      | kind                                | address     | other kind                                        | other address |
      | parts of heads on 400 connections   | callers     | bodies without their last byte on 400 connections | callers       |
      | legal heads of short lines          | callers     | bodies that drip on 400 connections               | callers       |
      | requests whose answers nobody takes | callers     | bodies without their last byte on 400 connections | callers       |
      | parts of heads on 400 connections   | callers     | frames that never end                             | other nodes   |
      | bodies in one-byte chunks           | callers     | scrapes on 400 connections                        | metrics       |
      | calls of very many header lines     | other nodes | large heartbeats                                  | heartbeats    |

  # Guards against: a crowd that keeps a node from starting, leaving or
  # taking new settings.
  Scenario Outline: the second node <change> beside a crowd of <kind> at <address>
    Given two nodes on the platform with settings for a small machine
    When the second node <change> while a crowd sends <kind> to its address for <address>
    Then each node lives and has used at most 100 MB and 300 descriptors
    And an ordinary request is answered afterwards

    Examples:
      | change     | kind                                         | address     |
      | restarts   | legal heads of short lines                   | callers     |
      | restarts   | bodies in one-byte chunks on 400 connections | callers     |
      | restarts   | parts of frames on 400 connections           | other nodes |
      | reloads    | parts of heads on 400 connections            | callers     |
      | reloads    | calls of very many header lines              | other nodes |
      | is drained | bodies in one-byte chunks on 400 connections | heartbeats  |
      | is drained | bodies that drip on 400 connections          | callers     |
