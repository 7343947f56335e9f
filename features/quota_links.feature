Feature: Tokens of tenants over the connections between nodes
  # Two nodes with their event-loop parts on one loop; the connections are
  # real ones on loopback.

  # Guards against: pledges or grants that are not carried, by a node that is
  # no quota server itself or by one that is.
  Scenario: a node gets tokens from a quota server over a connection
    Given two nodes whose only quota server is the second one
    When a tenant of 100 requests a second sends 60 in 1 s at the first
    Then all of them are let through by tokens
    And a tenant without a limit is let through at once

  # Guards against: a node that loses its quota server stops serving, or uses
  # its share while the server may still hold it.
  Scenario: a node whose quota server is gone falls back to its own share
    Given two nodes whose only quota server is the second one
    When the server ends and the tenant goes on for 6 s at the first
    Then none is let through in the next 2 s, and its own share later
    And a line tells of the fallback and of the refusals

  # Guards against: messages, timers or state without any limit.
  Scenario: without a limit nothing is sent
    Given two nodes whose only quota server is the second one
    When the limits are removed
    Then both gates are idle, and nothing more is sent
