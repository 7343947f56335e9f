Feature: Clients that ignore the limits, at the threaded interface
  # Two nodes of arbutusstall-node run as processes, each beside a target of
  # one service. Memory is VmHWM of each node; descriptors are sampled. The
  # settings are those for a machine with 100 MB and 300 descriptors. 20
  # clients send for 3 seconds to the first node, or 400 where the connections
  # themselves are the load.

  # Guards against: a process ends, hangs, or exhausts its memory or
  # descriptors by requests that are legal one by one, or never complete.
  Scenario Outline: a crowd sends <kind> to the threaded address for <address>
    Given two threaded nodes with settings for a small machine
    When a crowd sends <kind> to the threaded address for <address>
    Then each threaded node lives and has used at most 100 MB and 300 descriptors
    And an ordinary request through each threaded node is answered afterwards

    Examples:
      | kind                                              | address |
      | legal heads of short lines                        | callers |
      | lines with odd names and no values                | callers |
      | heads over the limit                              | callers |
      | a header value without end                        | callers |
      | empty lines without end                           | callers |
      | trailers without end                              | callers |
      | nothing on 400 connections                        | callers |
      | legal heads of short lines                        | calls   |
      | lines with odd names and no values                | calls   |
      | heads over the limit                              | calls   |
      | a header value without end                        | calls   |
      | empty lines without end                           | calls   |
      | trailers without end                              | calls   |
      | nothing on 400 connections                        | calls   |
      | legal heads of short lines                        | admin   |
      | lines with odd names and no values                | admin   |
      | heads over the limit                              | admin   |
      | a header value without end                        | admin   |
      | empty lines without end                           | admin   |
      | trailers without end                              | admin   |
      | nothing on 400 connections                        | admin   |
      | legal heads of short lines                        | relay   |
      | lines with odd names and no values                | relay   |
      | heads over the limit                              | relay   |
      | a header value without end                        | relay   |
      | empty lines without end                           | relay   |
      | trailers without end                              | relay   |
      | nothing on 400 connections                        | relay   |
      | parts of heads on 400 connections                 | callers |
      | bodies in one-byte chunks on 400 connections      | callers |
      | bodies without their last byte on 400 connections | callers |
      | parts of heads on 400 connections                 | calls   |
      | bodies in one-byte chunks on 400 connections      | calls   |
      | bodies without their last byte on 400 connections | calls   |
      | parts of heads on 400 connections                 | admin   |
      | bodies in one-byte chunks on 400 connections      | admin   |
      | bodies without their last byte on 400 connections | admin   |
      | requests whose answers nobody takes               | callers |
      | scrapes whose answers nobody takes                | admin   |
      | tiny requests without end                         | callers |
      | frames that never end                             | relay   |
      | parts of frames on 400 connections                | relay   |
      | empty frames without end                          | relay   |
      | compressed frames that grow                       | relay   |
