Feature: A refusal reports the true outcome, and a call that is not idempotent runs at most once

  Background:
    Given hosts A, B and C in front of three engines

  Scenario: The connection breaks after a booking was sent
    When the lending service drops connections after it ran a call
    And an interviewer sends booking K1 through host A
    And 10 seconds pass
    Then the last response to booking K1 reports outcome unknown
    And booking K1 ran exactly once
    And every promise holds

  Scenario: The lending service refuses the connection
    When the lending service refuses connections
    And an interviewer sends booking K1 through host A
    And 10 seconds pass
    Then the last response to booking K1 reports not run
    And booking K1 ran zero times
    And every promise holds

  Scenario: A booking is sent through two hosts at the same time
    When an interviewer sends booking K1 through host A
    And an interviewer sends booking K1 through host B
    And 10 seconds pass
    And an interviewer sends booking K1 through host C
    And 10 seconds pass
    Then booking K1 ran exactly once
    And every promise holds

  Scenario: A host fails between journaling and sending a booking
    When an interviewer sends booking K1 through host A
    And 0.01 seconds pass
    And host A is lost
    And 30 seconds pass
    And an interviewer sends booking K1 through host B
    And 10 seconds pass
    Then booking K1 ran at most once
    And every promise holds

  Scenario: A host fails while the lending service runs a booking
    When an interviewer sends booking K1 through host A
    And 0.08 seconds pass
    And host A is lost
    And 30 seconds pass
    And an interviewer sends booking K1 through host B
    And 10 seconds pass
    Then the last response to booking K1 reports outcome unknown
    And booking K1 ran exactly once
    And every promise holds

  Scenario: The store is down when a request arrives
    When the store is down
    And an interviewer sends coding request Q1 through host A
    And an interviewer sends booking K1 through host B
    And 30 seconds pass
    Then the last response to coding request Q1 reports not run
    And the last response to booking K1 reports not run
    And booking K1 ran zero times
    And every promise holds

  Scenario: Engines crash while many callers wait for streams
    When interviewers open 12 chats through host A
    And 0.25 seconds pass
    And engine engine-1 crashes
    And engine engine-3 crashes
    And 30 seconds pass
    Then every promise holds
