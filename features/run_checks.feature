Feature: The verdict of the check run

  Scenario Outline: <case>
    Given the runner ended with code <code> and the scenarios "<scenarios>"
    And KNOWN-RED.txt has the lines "<known>"
    Then the verdict is <passed> passed, <failed> failed, <red> known red

    Examples:
      | case                                      | code | scenarios          | known               | passed | failed | red |
      | all pass                                  | 0    | a passed; b passed |                     | 2      | 0      | 0   |
      | a failure counts                          | 1    | a passed; b failed |                     | 1      | 1      | 0   |
      | a listed failure is passed over           | 1    | a passed; b failed | b / c / 1 / x / i   | 1      | 0      | 1   |
      | a listed error in a step is passed over   | 1    | b error            | b / c / 1 / x / i   | 0      | 0      | 1   |
      | a listed scenario may pass                | 0    | b passed           | b / c / 1 / x / i   | 1      | 0      | 0   |
      | another failure beside a listed one counts | 1   | a failed; b failed | b / c / 1 / x / i   | 0      | 1      | 1   |
      | an error in a hook counts though listed   | 1    | b hook_error       | b / c / 1 / x / i   | 0      | 1      | 0   |
      | an undefined step counts though listed    | 1    | b undefined        | b / c / 1 / x / i   | 0      | 1      | 0   |
      | a skipped scenario counts                 | 0    | b skipped          |                     | 0      | 1      | 0   |
      | no scenario at all                        | 0    |                    |                     | 0      | 1      | 0   |
      | a crash of the runner                     | 1    | a passed           |                     | 1      | 1      | 0   |
      | a malformed entry                         | 0    | a passed           | a / too short       | 1      | 1      | 0   |
      | an entry for no scenario                  | 0    | a passed           | z / c / 1 / x / i   | 1      | 1      | 0   |

  Scenario: the report of a real run is read
    Given a feature file with a passing, a failing and an undefined scenario
    Then its scenarios are read as passed, failed and undefined
