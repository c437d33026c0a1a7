Feature: An accepted configuration comes into force on every host and never reverts

  Background:
    Given hosts A, B and C in front of three engines

  Scenario: Two operators change one object at the same time
    When operators at hosts A and B change the marker at the same time
    And 20 seconds pass
    Then one change was accepted and the other was refused with REVISION_CONFLICT
    And every host has the accepted change
    And every promise holds

  Scenario: A host starts after a change
    When an operator at host A changes the marker
    And 1 second passes
    And host A is lost
    And a host starts
    And 20 seconds pass
    Then every host has the accepted change
    And every promise holds

  Scenario: A host is cut off from its peers during a change
    When hosts A and B are cut off from each other
    And hosts C and B are cut off from each other
    And an operator at host A changes the marker
    And 17 seconds pass
    Then every host has the accepted change
    And every promise holds

  Scenario: A host is cut off from the store during a change
    When host B is cut off from the store
    And an operator at host A changes the marker
    And 17 seconds pass
    Then every host has the accepted change
    And every promise holds

  Scenario: A recalled version gets no new work
    When version 1 is recalled through host A
    And 17 seconds pass
    And interviewers open 6 chats through host B
    And interviewers open 6 chats through host C
    And 30 seconds pass
    Then every promise holds

  Scenario: A recall takes effect on a host that is cut off from store and peers
    When 10 seconds pass
    And host B is cut off from the store
    And hosts A and B are cut off from each other
    And hosts C and B are cut off from each other
    And version 1 is recalled through host A
    And 20 seconds pass
    And interviewers open 12 chats through host B
    And 30 seconds pass
    Then every promise holds

  Scenario: A recall takes effect on a host that was cut off just after its start
    When host B is cut off from the store
    And hosts A and B are cut off from each other
    And hosts C and B are cut off from each other
    And version 1 is recalled through host A
    And 20 seconds pass
    And interviewers open 12 chats through host B
    And 30 seconds pass
    Then every promise holds

  Scenario: A paused host resumes after a recall
    When host B is paused
    And version 1 is recalled through host A
    And 30 seconds pass
    And host B is resumed
    And 1 second passes
    And interviewers open 12 chats through host B
    And 30 seconds pass
    Then every promise holds

  Scenario: An operator submits a selector that is malformed
    When an operator drains "(((" through host A
    And 10 seconds pass
    Then the change was refused with BAD_SELECTOR
    And no host has a new revision
    And every promise holds
