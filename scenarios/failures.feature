Feature: Entry processes that fail
  Programs outlive the entry process that serves them, whichever way it fails.

  Background:
    Given the deployment of Wasserreigen Allgäu-Franken

  Scenario: An entry process dies between the turns of a program
    Given a running program
    And it has made 2 model calls and 1 "swap" call
    When the owner of the program dies
    Then every partition is served again within 5 s
    And the next model call is completed
    And the recorded result of each call is given again
    And each history is what its caller was told
    And every key has run once

  Scenario: R7 An entry process dies while a tool call runs
    Given a running program
    And tool operations take 1500 ms
    When the owner of the program dies within a "release_valve" call
    Then the last call ended with "OUTCOME_UNKNOWN"
    And every key has run once
    And the next model call is completed

  Scenario: Two entry processes die at once
    Given 8 running programs
    When 2 entry processes die at once
    Then every partition is served again within 5 s
    When each makes 1 model call and 1 "swap" call, all at the same time
    Then every call is completed
    And each history is what its caller was told
    And every key has run once

  Scenario: R7 A paused entry process wakes after its journal was sealed
    Given 4 running programs
    And tool operations take 100 ms
    When the owner of the first is paused within "release_valve" calls of all
    Then every partition is served again within 5 s
    When each makes 1 model call and 1 "swap" call, all at the same time
    And the paused entry process wakes
    Then it serves again as a new member
    And no key has run twice
    And the tool services have run the calls of each program one by one
    And each history is what its caller was told

  Scenario: A cut link between two entry processes moves nothing
    Given a running program
    When the link between two entry processes is cut for 4 s
    Then the partition map has not changed
    And the next model call is completed

  Scenario: Two faults at once: an entry process dies while the store is down
    Given a running program
    And it has made 2 model calls and 1 "swap" call
    When the store refuses all calls
    And the owner of the program dies
    And 3 s have passed
    And the store works again
    Then every partition is served again within 5 s
    And the next model call is completed
    And each history is what its caller was told
    And every key has run once
