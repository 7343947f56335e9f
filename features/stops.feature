Feature: Requests that arrive while a server stops
  # Pattern: a planned stop under load. Some connections still wait to be
  # accepted, others were accepted but their requests were not yet read.

  Scenario Outline: a request that was sent before the stop is answered
    Given a server in this process
    When 20 clients <have> and it stops listening
    Then each client gets a whole answer
    And no connection is left open after 1 second

    Examples:
      | have                                          |
      | sent requests that wait to be accepted        |
      | sent requests on new connections              |
      | sent requests again on used connections       |
      | connected and send requests 100 ms later      |
      | sent three requests at once                   |

  Scenario: idle connections end at once when a server stops
    Given a server in this process
    When 20 clients have used connections and it stops listening
    Then no connection is left open after 0.1 seconds

  # Guards against: bookings that arrive late in a planned stop are passed on
  # and cut without an answer when the time for the stop is over.
  Scenario Outline: a booking that is due late in a planned stop is refused
    Given nodes on the platform for kvoty and kvoty
    And the operator publishes version 3 with routes to both services
    When a node is stopped and a booking <arrives>
    Then the booking gets 503 with a time to retry, and it never runs

    Examples:
      | arrives                            |
      | is completed 2.8 seconds later     |
      | waits behind one that takes longer |

  Scenario: a booking that runs at the end of a planned stop is answered
    Given nodes on the platform for kvoty and kvoty
    And the operator publishes version 3 with routes to both services
    When a node is stopped and a booking runs for longer than that may take
    Then the booking gets 504 and ran once

  # Guards against: a stopping node drops bytes of an answer that clients
  # still read, since the answer was handed to the transport.
  Scenario Outline: an answer that <reader> has not taken keeps a node busy
    Given a server of <kind> in this process
    When it answers 8 MB to a client that does not read yet
    Then it is busy
    And it is idle after the client has read the whole answer

    Examples:
      | kind   | reader       |
      | HTTP   | a client     |
      | frames | another node |
