Feature: Answers of faulty targets
  # The target is a real socket that writes given bytes; the calls go
  # through the inbound proxy.

  # Guards against: a refusal that is written once more on a kept connection
  # is taken for the answer to the next request, which runs.
  Scenario Outline: a refusal written once more <when> refuses nothing else
    Given a target that refuses a booking and writes that refusal again <when>
    When the booking and then another one are sent to it
    Then the first is answered not run
    And the second is answered <outcome>

    Examples:
      | when                                      | outcome |
      | at once                                   | 200     |
      | while the connection is idle              | 200     |
      | when the next request has arrived         | 200     |
      | without an id when the next one has come  | 200     |
      | instead of the next answer, and closes    | unknown |
      | in part, then the next answer             | unknown |

  # Guards against: an answer that ends within its head becomes a success
  # with an empty or short body.
  Scenario Outline: an answer that ends <where> is no answer
    Given a target that closes the connection <where>
    When a booking is sent to it
    Then it is answered unknown

    Examples:
      | where                              |
      | after an empty interim answer      |
      | after an interim answer with an id |
      | within the status line             |
      | after the status line              |
      | within the name of a header        |
      | within the length of the body      |
      | before the empty line              |
      | within the empty line              |
      | within the body                    |
      | within a chunk                     |
      | before the last chunk              |

  # Guards against: a refusal that does not repeat the limit ends it.
  Scenario: a refusal that does not name the limit does not end it
    Given a target that names a limit of 1 a second, then refuses without it
    When three bookings are sent to it
    Then the third one is answered not run and has not reached the target

  # Guards against: a finished call whose answer was too large to keep is
  # reported as revoked, and the caller's node runs it at another target.
  Scenario: an answer that was not kept does not make a call revoked
    Given a target that answers a booking with more bytes than are kept
    When the booking is revoked while it runs
    Then the revocation reports that it has finished
    And no answer comes with it

  # Guards against: a status that is none reaches the client, or holds its
  # request until the deadline although another target could answer.
  Scenario Outline: an answer with the status line <line> is no answer
    Given a target that answers with the status line <line>
    When a booking is sent to it
    Then it is answered unknown
    And at once

    Examples:
      | line                             |
      | HTTP/1.1 000 None                |
      | HTTP/1.1 099 None                |
      | HTTP/1.1 600 None                |
      | HTTP/1.1 999 None                |
      | HTTP/1.1 20x None                |
      | HTTP/1.1 OK                      |
      | HTTP/1.1 101 Switching Protocols |

  # Guards against: a target holds a request by interim answers.
  Scenario: interim answers without end are no answer
    Given a target whose interim answers never end
    When a booking is sent to it
    Then it is answered unknown
    And at once

  # Guards against: a target that answers with an invalid status is chosen as
  # often as one that serves, if some of its answers are valid.
  Scenario: an endpoint that loses a part of its calls is chosen less
    Given two endpoints of which one loses every second call
    When 200 calls are balanced over them
    Then the sound one gets at least three quarters of the last 100

  # Guards against: errors of long ago count as new ones with the next lost
  # call, and the endpoint is avoided.
  Scenario: one lost call does not bring back the errors of long ago
    Given an endpoint that failed all calls for a while
    When it loses one call 60 seconds later
    Then its error rate is below 0.2

  # Guards against: a call for whose head one node has no room is reported as
  # refused although another endpoint has room.
  Scenario: a call without room for its head goes on to another endpoint
    Given a refusal for lack of room for a head
    Then the call is tried at another endpoint
