Feature: The time line and its checks
  The logs of many processes are merged into one ordered time line, and the
  checks find each violation of an invariant in it.

  Scenario: lines of one process are never reordered
    Given the log "a" with the lines
      | ts | line                                             |
      | 5  | event=node-started node=a seq=1                  |
      | 3  | event=config-in-force node=a seq=2 version=1     |
    And the log "b" with the lines
      | ts | line                                             |
      | 4  | event=node-started node=b seq=1                  |
    Then the time line lists events of the nodes "b a a" in this order

  Scenario: a late clock is moved forward by what it must have seen
    Given the log "caller" with the lines
      | ts | line                                             |
      | 10 | event=caller-sent node=caller seq=1 request=r    |
      | 12 | event=caller-got node=caller seq=2 request=r outcome=answer |
    And the log "target" with the lines
      | ts | line                                             |
      | 7  | event=target-executed node=t seq=1 request=r method=GET |
    Then the time line lists events of the nodes "caller t caller" in this order
    And it reports that the clock of "t" was moved forward by 3 seconds

  Scenario: a resend with the same key may get the first answer
    Given the log "one" with 1 caller-sent request=a key=k; 2 target-executed request=a key=k method=POST; 3 target-finished request=a digest=x; 4 caller-sent request=b key=k; 5 caller-got request=b outcome=answer digest=x
    Then the check finds no violation

  Scenario Outline: the check of <invariant> finds its violation
    Given the log "one" with <lines>
    Then the check finds violations of <invariant> only
    And the check finds no violation without the last line

    Examples:
      | invariant                 | lines |
      | never-older               | 1 node-started node=n; 2 config-in-force node=n version=5; 3 config-in-force node=n version=4 |
      | no-dangling-route         | 1 config-seen seen=n incarnation=1 version=1 content=x routes=/a>s services=s; 2 config-seen seen=n incarnation=1 version=2 content=y routes=/b>t services=s |
      | never-in-part             | 1 config-seen seen=n incarnation=1 version=1 content=x; 2 config-seen seen=m incarnation=1 version=1 content=y |
      | never-in-part             | 1 release-published release=r routes=/a>s,/b>s; 2 config-seen seen=m incarnation=1 version=1 content=y routes=/a>s services=s |
      | bad-version-contained     | 1 fault-began fault=bad-version nodes=- service=s version=v2; 2 target-executed service=s version=v2 request=a; 2 target-finished request=a status=500; 3 rollout-rolled-back rollout=r/s; 9 target-executed service=s version=v2 request=b |
      | own-whole-answer          | 1 caller-sent request=a; 2 target-executed request=a; 3 target-finished request=a digest=x; 4 caller-got request=a outcome=answer digest=y |
      | not-run-is-true           | 1 caller-sent request=a; 2 caller-got request=a outcome=not-run; 3 target-executed request=a |
      | at-most-once              | 1 target-executed request=a key=k method=POST; 2 target-executed request=b key=k method=POST |
      | at-most-once              | 1 target-executed request=a method=POST; 2 target-executed request=a method=POST |
      | leaving-gets-nothing      | 1 target-leaving beside=n; 2 target-executed request=a; 5 target-executed request=b |
      | planned-stop-cuts-nothing | 1 node-started node=n; 2 caller-sent request=a entry=n; 3 node-stopping node=n; 4 caller-got request=a outcome=none |
      | in-force-everywhere       | 1 node-started node=n; 2 release-accepted release=r offset=4; 9 config-in-force node=n version=5 |
