Feature: Draining at the inbound proxy
  Scenario: work in flight ends, new work goes elsewhere or is refused
    Given 2 endpoints behind links that can be cut
    When an endpoint leaves while POSTs run at both
    Then all of them get the answer
    And 20 POSTs sent after that run at the other endpoint only

  Scenario: the last endpoint leaves
    Given 1 endpoint behind links that can be cut
    When an endpoint leaves while POSTs run at it
    Then all of them get the answer
    And the next POST gets not-run with the reason draining

  Scenario: stopping waits for a long call and answers it
    Given 1 endpoint behind links that can be cut
    When the inbound proxy is stopped while a POST runs
    Then it has not stopped while the POST runs
    And the POST gets the answer and the proxy stops
