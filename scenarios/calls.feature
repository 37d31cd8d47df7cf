Feature: Calls of one program
  Callers rely on the order of their calls, on whole answers, on the budget,
  and on each visit or booking being made at most once.

  Background:
    Given the deployment of Indus Restwell Services

  Scenario: R1 Tool calls of one program run one after another
    Given a running program
    And tool operations take 150 ms
    When its caller sends 4 "book" calls at the same time
    Then every call is completed
    And the tool services have run the calls of each program one by one
    And every key has run once

  Scenario: R2 Programs served at the same time keep their histories apart
    Given 6 running programs
    When each makes 3 model calls and 2 "charge" calls, all at the same time
    Then every call is completed
    And every answer is whole
    And each history is what its caller was told
    And no engine has seen a prompt of another program

  Scenario: R3 A program that loops without end is ended by its budget
    Given a running program with a budget of 200 generated tokens
    When it makes model calls of 30 tokens until it is refused
    Then the last call is refused with "BUDGET_EXHAUSTED" as not run
    And the engines have generated at most its budget

  Scenario: R3 A sub-agent draws on the budget of its parent
    Given a running program with a budget of 120 generated tokens
    And a sub-agent of the program
    When it makes model calls of 30 tokens until it is refused
    And the sub-agent makes a model call of 30 tokens
    Then the last call is refused with "BUDGET_EXHAUSTED" as not run
    And the engines have generated at most its budget

  Scenario: R5 A caller whose connection breaks gets the whole answer later
    Given a running program
    And engines take 20 ms for a token
    When its caller breaks off within an answer of 40 tokens
    And asks again with the same key
    Then every call is completed
    And every answer is whole
    And each history is what its caller was told

  Scenario: R6 A refusal that says not run is true
    Given a running program
    And tool services refuse every call
    When its caller sends a "book" call that must end within 1000 ms
    Then the last call is refused with "OVERLOADED" as not run
    And no key has run

  Scenario: R6 A caller that gives up on a call in progress is not told "not run"
    Given a running program
    And tool operations take 1500 ms
    When a "charge" call is sent, and again with a deadline of 400 ms
    Then no call that ran was said not to have run
    And every key has run once

  Scenario: R7 A key that is sent twice at the same time runs once
    Given a running program
    When the same "charge" call is sent to every entry process at once
    Then every call is completed
    And all answers are the same
    And every key has run once

  Scenario: A hung tool is given up at its timeout and not run again
    Given a running program
    And tool services hang
    When its caller streams a "dispatch" call
    Then the caller hears within 2 s that the call waits
    And the last call ended with "OUTCOME_UNKNOWN"
    When tool services work again
    And the caller sends the call again
    Then the last call ended with "OUTCOME_UNKNOWN"
    And every key has run once
    And the next model call is completed
