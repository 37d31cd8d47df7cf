Feature: Faults of the key-value service
  Nothing is promised that is not durable, and nothing durable is lost.

  Background:
    Given the deployment of Indus Restwell Services

  Scenario: The store is down for longer than the grace time
    Given a running program
    And it has made 2 model calls and 1 "book" call
    When the store refuses all calls within an answer of 4 tokens
    And 2.5 s have passed
    Then new calls and programs are refused at once as not run
    And address answers and states are still given
    When the store works again
    Then within 8 s new calls and programs are taken
    And each history is what its caller was told
    And no key has run twice
    And no call that ran was said not to have run

  Scenario: R5 A stream goes on while the store hangs
    Given a running program
    And engines take 20 ms for a token
    When the store hangs for 6 s within an answer of 100 tokens
    Then every call is completed
    And every answer is whole
    And the caller hears within 2 s that the call waits
    And each history is what its caller was told

  Scenario: The store is slow
    Given 4 running programs
    When the store takes 400 ms for each call
    And each makes 1 model call and 1 "book" call, all at the same time
    Then every call is completed
    And every key has run once
    And each history is what its caller was told

  Scenario: R7 Answers of the store are lost after the write
    Given 4 running programs
    When the store loses the answers to half of the writes
    And each makes 2 model calls and 2 "charge" calls, all at the same time
    And the store works again
    Then no key has run twice
    And no call that ran was said not to have run
    And each history is what its caller was told
