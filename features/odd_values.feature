Feature: Values from outside, as readers get them
  Scenario: versions of any size pass through every message
    # Guards against review/3: versions beyond 64 bits had no encoding.
    Then each message that names a version is decoded as it was encoded
    And the digest of a configuration with a small version is unchanged
