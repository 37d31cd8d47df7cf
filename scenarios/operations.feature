Feature: Operating the service
  Two people run the platform: stops, drains and edits must not hurt programs.

  Background:
    Given the deployment of Wasserreigen Allgäu-Franken

  Scenario: R4 Engine memory is released when programs end
    Given 4 running programs
    When each makes 2 model calls and 1 "swap" call, all at the same time
    And the programs end
    Then no engine memory is held for them after 10 s

  Scenario: R4 Engine memory is released when the owner dies within a call
    Given a running program
    And engines take 20 ms for a token
    When the owner of the program dies within an answer of 60 tokens
    And the programs end
    Then no engine memory is held for them after 10 s

  Scenario: R9 A planned stop cuts no stream off
    Given 3 running programs
    And engines take 20 ms for a token
    When entry processes are stopped within answers of 100 tokens
    Then every call is completed
    And every answer is whole
    And no caller had to ask again
    And the stopped processes have ended with status 0
    And each history is what its caller was told

  Scenario: R10 An accepted edit is in force everywhere and never reverts
    When an operator applies an edit
    Then it is in force at every entry process within 9 s
    When the store gives stale answers
    And an entry process dies and another one starts
    And the store works again
    Then no entry process has gone back to an earlier revision
    And the edit is in force at every entry process

  Scenario: Two operators edit one section at the same time
    When two operators edit the section "limits" at the same time
    Then one edit is accepted and the other is shown both sides
    And the accepted edit is in force at every entry process within 9 s

  Scenario: Two operators edit two sections at the same time
    When two operators edit two sections at the same time
    Then both edits are in force at every entry process within 9 s

  Scenario Outline: R8 A leaving engine gets no new work after 5 s
    Given programs that make model calls without pause
    When <source> says that an engine is leaving
    And 5 s have passed
    Then the engine gets no new work for 2 s
    And every call is completed

    Examples:
      | source            |
      | the configuration |
      | the host list     |

  Scenario: R8 A leaving engine gets no new work while store and host list are down
    Given programs that make model calls without pause
    When the store hangs
    And the host list hangs
    And the load report says that an engine is leaving
    And 5 s have passed
    And the store works again
    Then the engine gets no new work for 2 s
