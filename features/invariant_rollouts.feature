Feature: Bad versions under failure
  Checks the invariant bad-version-contained.

  Scenario: versions that fail, are slow, or fail on one route, together
    Given a trial mesh with services a, b and c, each in two versions
    And version v2 of a fails every call
    And version v2 of b answers 800 ms later
    And version v2 of c fails on one route only
    And callers send 150 requests a second to them for 25 seconds
    When releases move all of them to v2 within 8 seconds
    Then the moves of a, b and c end as rolled-back within 40 seconds
    And the time line exercises and satisfies bad-version-contained, own-whole-answer

  Scenario: a version turns bad late while the log is out
    Given a trial mesh with services a, b and c, each in two versions
    And callers send 120 requests a second to them for 38 seconds
    When releases move all of them to v2 within 20 seconds
    And version v2 of a starts to fail after 8 seconds, in a log outage
    Then the moves of b and c end as done within 60 seconds
    And the moves of a end as rolled-back within 20 seconds
    And the time line exercises and satisfies bad-version-contained, own-whole-answer
