Feature: Accepted work survives hosts that join, leave and fail

  Background:
    Given hosts A, B and C in front of three engines

  Scenario: The host list shows a lost host as live
    When a supervisor submits job J1 through host A
    And host A is running items of job J1
    And host A is lost
    And interviewers open 6 chats through host B
    And 60 seconds pass
    Then job J1 has each item exactly once
    And every promise holds

  Scenario: All hosts are replaced at once
    When a supervisor submits job J1 through host A
    And an interviewer sends coding request Q1 through host B
    And host A is running items of job J1
    And host A is lost
    And host B is lost
    And host C is lost
    And a host starts
    And 90 seconds pass
    Then job J1 has each item exactly once
    And every promise holds

  Scenario: All hosts are replaced one after another
    When a supervisor submits job J1 through host A
    And host A is running items of job J1
    And host A is lost
    And a host starts
    And 5 seconds pass
    And host B is lost
    And a host starts
    And 5 seconds pass
    And host C is lost
    And 90 seconds pass
    Then job J1 has each item exactly once
    And every promise holds

  Scenario: A host is lost during an outage of the store
    When a supervisor submits job J1 through host A
    And an interviewer sends coding request Q1 through host A
    And host A is running items of job J1
    And the store is down
    And host A is lost
    And 60 seconds pass
    And the store works again
    And 60 seconds pass
    Then job J1 has each item exactly once
    And every promise holds

  Scenario: A host is paused while an operator recalls a version
    When a supervisor submits job J1 through host A
    And host A is running items of job J1
    And host A is paused
    And version 1 is recalled through host B
    And 40 seconds pass
    And host A is resumed
    And 60 seconds pass
    Then job J1 has each item exactly once
    And every promise holds

  Scenario: A host is told to stop while it works
    When a supervisor submits job J1 through host A
    And host A is running items of job J1
    And an interviewer sends coding request Q1 through host A
    And interviewers open 6 chats through host A
    And 0.05 seconds pass
    And host A is told to stop
    And 60 seconds pass
    Then no response of host A was cut off
    And job J1 has each item exactly once
    And every promise holds

  Scenario: An engine is drained
    When an operator drains engine-2 through host A
    And 10 seconds pass
    And interviewers open 12 chats through host B
    And 10 seconds pass
    Then engine-2 started no generation in the last 10 seconds
    And every promise holds
