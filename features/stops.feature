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
