Feature: Overload, retries and requests that crash targets
  Scenario: a full endpoint queues, then refuses truthfully
    Given 1 endpoint with 2 slots and a queue of 2
    When 10 POSTs arrive at the same time
    Then at most 2 requests ran at the same time
    And each POST got the answer and ran once, or not-run and ran never
    And some POSTs got not-run with a Retry-After

  Scenario: a target that sheds load is not counted as having run
    Given 2 endpoints behind links that can be cut
    When one target sheds load and 10 POSTs are sent
    Then all 10 POSTs get the answer of the other target

  Scenario: a refusal passed on by a target is its answer
    Given 1 endpoint behind links that can be cut
    When the target answers with the refusal of a call that it made itself
    Then a 503 response that names no outcome arrives

  Scenario: a retry budget bounds the extra attempts
    When 1000 requests fail with a retry budget of a fifth of the requests
    Then at most 210 retries are allowed

  Scenario: an outlier is ejected and enough endpoints stay
    Given a balancer over 6 endpoints
    When 1 endpoint fails, it is not chosen for half a second
    And all endpoints fail, at least 3 are still chosen

  Scenario: a far endpoint is chosen when calls queue at the near ones
    Given a balancer over 2 near and 2 far endpoints
    Then only near ones are chosen
    And only near ones are chosen while the near ones report 14 calls for 10 slots
    And only far ones are chosen when the near ones report 16 calls for 10 slots

  Scenario: a cold endpoint gets little traffic at first
    Given a balancer over 6 endpoints
    When a seventh endpoint joins
    Then it gets less than a third of an equal share in its first second

  Scenario: a chain that is too deep is refused
    Given 1 endpoint behind links that can be cut
    When a POST arrives at depth 12 of a call chain
    Then the caller gets not-run
    And the request ran 0 times

  Scenario: a request that crashes targets takes two at most
    Given tables of suspect requests at 5 nodes
    When a poison request is sent 10 times beside 19 others
    Then at most 2 targets crashed
    And the poison request is refused in the end
    And each of the others runs normally after one exclusive run
