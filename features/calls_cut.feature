Feature: Links that are cut at any byte
  Invariants: each caller gets the complete answer to its own request; a
  request reported as "not run" has not run; a non-idempotent request runs
  at most once.

  Scenario Outline: the link between the nodes is cut <where>
    Given 1 endpoint behind links that can be cut
    When the link to the endpoint is cut <where> and a POST is sent
    Then the caller gets <outcome>
    And the request ran <count> times

    Examples:
      | where          | outcome    | count |
      | before connect | not-run    | 0     |
      | after connect  | the answer | 1     |
      | mid-head       | the answer | 1     |
      | mid-body       | the answer | 1     |
      | after body     | the answer | 1     |
      | mid-answer     | the answer | 1     |
      | after answer   | the answer | 1     |

  Scenario Outline: another endpoint runs what was cut <where>
    Given 2 endpoints behind links that can be cut
    When the links are cut <where> once and a POST is sent
    Then the caller gets the answer
    And the request ran 1 times

    Examples:
      | where          |
      | before connect |
      | after connect  |
      | mid-head       |
      | mid-body       |
      | after body     |
      | mid-answer     |

  Scenario Outline: the link to the target is cut <where>
    Given 1 endpoint behind links that can be cut
    When the link to the target is cut <where> and a POST is sent
    Then the caller gets <outcome>
    And the request ran <count> times

    Examples:
      | where          | outcome    | count |
      | before connect | not-run    | 0     |
      | after connect  | unknown    | 0     |
      | mid-head       | unknown    | 0     |
      | mid-body       | unknown    | 0     |
      | after body     | unknown    | 1     |
      | mid-answer     | unknown    | 1     |
      | after answer   | the answer | 1     |

  Scenario: a dead reused connection is not sent to twice
    Given a reused connection that is reset after the next request has run
    When that request is sent over it
    Then the exchange ends as unknown and the request ran 1 times
    And libcurl without the resend guard runs it 2 times

  Scenario: the link between the nodes is cut and the proxy restarted
    Given 1 endpoint behind links that can be cut
    When the inbound proxy is replaced while a POST runs
    Then the caller gets unknown
    And the request ran 1 times
    And the next POST gets the answer

  Scenario: a caller's own cut request is not run
    Given 1 endpoint behind links that can be cut
    When a caller sends a POST that is cut at each byte in turn
    Then none of them ran
