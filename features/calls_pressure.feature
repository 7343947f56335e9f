Feature: Who waits, who is refused and where work goes under pressure
  # The steps drive admission and balancing in virtual time, without a
  # network.

  Scenario: calls of running requests overtake new requests
    Given a target with 1 slot that takes 100 ms a call
    When it is busy and new requests wait, then a nested call arrives
    Then the nested call starts next

  Scenario: a request that a more urgent one displaces is refused at once
    Given a target with 1 slot that takes 100 ms a call
    When 3 requests of low rank wait and 3 of high rank arrive
    Then some of low rank are refused, none of high rank
    And the refused ones never start

  Scenario: under lasting overload nobody waits past the objective
    Given a target with 4 slots that takes 100 ms a call
    When requests with an objective of 300 ms arrive at twice its capacity
    Then each started request has waited at most 200 ms
    And the slots are always in use

  Scenario: requests that nested calls keep out are refused at once
    Given a target with 8 slots that takes 160 ms a call
    When nested calls of 30 ms use 75 percent of it and new requests 60 percent
    Then the slots are always in use
    And half of the refused requests were held for at most 20 ms
    And no refused request was held for more than 200 ms

  Scenario: callers that come back after a refusal do not make answers late
    Given a target with 8 slots that takes 90 ms a call
    When twice as many callers as it can serve arrive and retry after 150 ms
    Then the slots are always in use
    And no answer is later than 300 ms after its caller's first request

  Scenario Outline: how long a caller has waited follows from its time left
    Given callers of a route that start with deadlines of 1200 ms
    When a caller arrives with <left> ms left
    Then it is estimated to have waited for <waited> ms

    Examples:
      | left | waited |
      | 1200 | 0      |
      | 1050 | 150    |
      | 500  | 0      |

  Scenario: callers that have less time from now on count as new soon
    Given callers of a route that start with deadlines of 1200 ms
    When callers start with deadlines of 1000 ms for 25 seconds
    Then the last of them is estimated to have waited for 0 ms

  Scenario: short calls are not judged by the time of long ones
    Given a target with 8 slots that takes 300 ms a call
    When short nested calls of 20 ms with a deadline of 250 ms arrive
    Then none of them is refused

  Scenario: a slow endpoint gets less, and is tried again when it is well
    Given a cost-based balancer over 4 endpoints
    When one of them takes 10 times as long for a while
    Then it gets less than a tenth of the calls
    And 15 seconds after it has recovered it gets its share again

  Scenario: errors of a call further down eject nobody
    Given a cost-based balancer over 4 endpoints
    When every endpoint answers with errors
    Then all of them are still chosen

  Scenario: an endpoint that fails fast does not attract calls
    Given a cost-based balancer over 4 endpoints
    When one of them answers faster, but half of its calls with errors
    Then it gets less than a tenth of the calls

  Scenario: speeds that differ a little do not send calls far away
    Given a cost-based balancer with a near endpoint at half speed and a far one
    Then all calls stay near until half as many are queued as it has slots

  Scenario: a call that a near endpoint has refused goes where there is room
    Given a cost-based balancer over 4 near endpoints and 4 far ones
    When 2 calls wait at each near endpoint and none runs at the far ones
    Then a new call goes to a near one
    And a call that a near one has refused goes to a far one

  Scenario: while every endpoint sheds, nested calls get the retries
    Given a retry budget of 15 percent with a burst of 2
    When 10000 calls arrive, half of them nested, and one in two is shed
    Then nested calls get at least 80 percent of the retries
    And all retries are at most 15 percent of the calls and the burst

  # Guards against: callers that were refused together come back together,
  # and later than the first of the endpoints asked has room.
  Scenario: callers refused by full endpoints come back when one has room
    Given 3 full endpoints that expect room in 300, 120 and 0 ms
    When 1000 requests are refused by each of them in turn
    Then their callers are told to come back after 90 to 150 ms
    And no tenth of that time is given to more than 150 of them

  Scenario: without pressure requests of callers get their retries as well
    Given a retry budget of 15 percent with a burst of 2
    When 10000 calls arrive, half of them nested, and one in 20 is shed
    Then 9 of 10 shed calls get their retry
