Feature: Configurations beside silent paths
  # Load: a fleet without a network, on the settings of the platform, whose
  # nodes get configurations of an external source; five of them, one every
  # 0.3 s, from the moment of the failure on. Every scenario checks each
  # 20 ms, at each node that reaches the source, for how long it lacks a
  # configuration that the source has acknowledged: 2 s at most.
  # No answer for all roots: guards against nodes that wait until the reads of
  # their roots time out.
  Scenario Outline: <count> roots without answers of the source hold nobody up
    Given fleet 7 on the platform of 60 nodes in lipno, svet, rozmberk
    When the source leaves <count> roots without answers for 6 seconds
    Then no node that reaches the source lacked a configuration too long

    Examples:
      | count |
      | 1     |
      | 2     |
      | 3     |

  # Refused, and others without power: guards against a root that relies on
  # roots whose links have gone silent.
  Scenario Outline: a refused root does not wait for roots off for <seconds> s
    Given fleet 7 on the platform of 60 nodes in lipno, svet, rozmberk
    When the source refuses a root and the others lose power <seconds> s later
    Then no node that reaches the source lacked a configuration too long

    Examples:
      | seconds |
      | 0.1     |
      | 0.5     |
      | 2.0     |

  # One after the other: guards against the time of each level in turn.
  Scenario Outline: parents that lose power <seconds> s apart hold nobody up
    Given fleet <seed> on the platform of 60 nodes in lipno, svet, rozmberk
    When a root loses power and <seconds> s later a child of it with children
    Then no node that reaches the source lacked a configuration too long

    Examples:
      | seed | seconds |
      | 8    | 0.8     |
      | 9    | 1.0     |
      | 9    | 1.4     |

  # Calm: guards against fleets that read the source again and again.
  Scenario: nodes with a path to the source leave it to their roots
    Given fleet 7 on the platform of 60 nodes in lipno, svet, rozmberk
    When a configuration is published every second for 20 seconds
    Then only the roots have read the source
    And no node that reaches the source lacked a configuration too long
