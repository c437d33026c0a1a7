Feature: Accepted work completes exactly once and stays readable

  Background:
    Given hosts A, B and C in front of three engines

  Scenario: A host is lost right after it acknowledged a job
    When a supervisor submits job J1 through host A
    And 0.1 seconds pass
    And host A is lost
    And 60 seconds pass
    Then job J1 has each item exactly once
    And every promise holds

  Scenario: A host is lost with batch items in flight
    When a supervisor submits job J1 through host A
    And host A is running items of job J1
    And host A is lost
    And 60 seconds pass
    Then job J1 has each item exactly once
    And every promise holds

  Scenario: A host is lost while it runs an accepted coding request
    When an interviewer sends coding request Q1 through host A
    And 0.1 seconds pass
    And host A is lost
    And 60 seconds pass
    And an interviewer sends coding request Q1 through host B
    And 5 seconds pass
    Then coding request Q1 has the same response at every host
    And every promise holds

  Scenario: A caller resends a coding request at once and a day later
    When an interviewer sends coding request Q1 through host A
    And an interviewer sends coding request Q1 through host B
    And 10 seconds pass
    And the clock jumps by 86400 seconds
    And 10 seconds pass
    And an interviewer sends coding request Q1 through host C
    And 10 seconds pass
    Then coding request Q1 has the same response at every host
    And every promise holds

  Scenario: A caller reuses an idempotency key with another body
    When an interviewer sends coding request Q1 through host A
    And 5 seconds pass
    And an interviewer sends another body under Q1 through host B
    And 5 seconds pass
    Then the last response to coding request Q1 is IDEMPOTENCY_CONFLICT
    And every promise holds

  Scenario: A supervisor submits a job twice
    When a supervisor submits job J1 through host A
    And a supervisor submits job J1 through host B
    And 60 seconds pass
    Then job J1 has each item exactly once
    And every promise holds

  Scenario: Each engine crashes with items in flight
    When a supervisor submits job J1 through host A
    And host A is running items of job J1
    And engine engine-1 crashes
    And engine engine-2 crashes
    And 60 seconds pass
    Then job J1 has each item exactly once
    And every promise holds

  Scenario: A paused host resumes after other hosts took over its work
    When a supervisor submits job J1 through host A
    And host A is running items of job J1
    And an interviewer sends coding request Q1 through host A
    And 0.1 seconds pass
    And host A is paused
    And 40 seconds pass
    And host A is resumed
    And 60 seconds pass
    Then job J1 has each item exactly once
    And coding request Q1 has the same response at every host
    And every promise holds

  Scenario: Replies of the store are lost after the write took effect
    When the store loses half of its replies
    And a supervisor submits job J1 through host A
    And an interviewer sends coding request Q1 through host B
    And an interviewer sends booking K1 through host C
    And 30 seconds pass
    And the store works again
    And 60 seconds pass
    Then every promise holds

  Scenario: The store is down for three minutes
    When a supervisor submits job J1 through host A
    And host A is running items of job J1
    And an interviewer sends coding request Q1 through host B
    And 0.2 seconds pass
    And the store is down
    And 180 seconds pass
    And the store works again
    And 60 seconds pass
    Then job J1 has each item exactly once
    And every promise holds

  Scenario: The store is slow for minutes
    When the store is slow
    And a supervisor submits job J1 through host A
    And an interviewer sends coding request Q1 through host B
    And 180 seconds pass
    And the store works again
    And 60 seconds pass
    Then every promise holds

  Scenario: A job is cancelled while a host is lost
    When a supervisor submits job J1 through host A
    And host A is running items of job J1
    And host A is lost
    And job J1 is cancelled through host B
    And 40 seconds pass
    Then job J1 is cancelled
    And every promise holds

  Scenario: An item can never succeed
    When a supervisor submits job J1 with an impossible item through host A
    And 60 seconds pass
    Then job J1 has each item exactly once
    And the impossible item of job J1 has failed with a reason
    And every promise holds
