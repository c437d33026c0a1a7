Feature: A refusal is true, and what can't be repeated runs at most once

  Background:
    Given hosts A, B and C before three engines

  Scenario: The connection dies after a booking was sent
    When the lending service loses connections after it ran
    And an interviewer sends booking K1 by host A
    And 10 seconds pass
    Then the last answer to booking K1 says outcome unknown
    And booking K1 ran once
    And every promise holds

  Scenario: The lending service refuses the connection
    When the lending service refuses connections
    And an interviewer sends booking K1 by host A
    And 10 seconds pass
    Then the last answer to booking K1 says not run
    And booking K1 ran never
    And every promise holds

  Scenario: A booking is sent twice by two hosts at one moment
    When an interviewer sends booking K1 by host A
    And an interviewer sends booking K1 by host B
    And 10 seconds pass
    And an interviewer sends booking K1 by host C
    And 10 seconds pass
    Then booking K1 ran once
    And every promise holds

  Scenario: A host dies between journalling and sending a booking
    When an interviewer sends booking K1 by host A
    And 0.01 seconds pass
    And host A is lost
    And 30 seconds pass
    And an interviewer sends booking K1 by host B
    And 10 seconds pass
    Then booking K1 ran at most once
    And every promise holds

  Scenario: A host dies while the lending service runs a booking
    When an interviewer sends booking K1 by host A
    And 0.08 seconds pass
    And host A is lost
    And 30 seconds pass
    And an interviewer sends booking K1 by host B
    And 10 seconds pass
    Then the last answer to booking K1 says outcome unknown
    And booking K1 ran once
    And every promise holds

  Scenario: The store is down when a request arrives
    When the store is down
    And an interviewer sends coding request Q1 by host A
    And an interviewer sends booking K1 by host B
    And 30 seconds pass
    Then the last answer to coding request Q1 says not run
    And the last answer to booking K1 says not run
    And booking K1 ran never
    And every promise holds

  Scenario: Streams are cut while many callers wait
    When interviewers open 12 chats by host A
    And 0.25 seconds pass
    And engine engine-1 crashes
    And engine engine-3 crashes
    And 30 seconds pass
    Then every promise holds
