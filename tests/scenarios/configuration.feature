Feature: An accepted configuration is in force everywhere and never reverts

  Background:
    Given hosts A, B and C before three engines

  Scenario: Two operators change one object at one moment
    When operators at A and B change the marker at one moment
    And 20 seconds pass
    Then one change was accepted and the other got REVISION_CONFLICT
    And every host has the accepted change
    And every promise holds

  Scenario: A host starts after a change
    When operators at A change the marker
    And 1 second passes
    And host A is lost
    And a host starts
    And 20 seconds pass
    Then every host has the accepted change
    And every promise holds

  Scenario: A host is cut off from its peers during a change
    When hosts A and B are cut off from each other
    And hosts C and B are cut off from each other
    And operators at A change the marker
    And 17 seconds pass
    Then every host has the accepted change
    And every promise holds

  Scenario: A host is cut off from the store during a change
    When host B is cut off from the store
    And operators at A change the marker
    And 17 seconds pass
    Then every host has the accepted change
    And every promise holds

  Scenario: A recalled version gets no new work
    When version 1 is recalled by host A
    And 17 seconds pass
    And interviewers open 6 chats by host B
    And interviewers open 6 chats by host C
    And 30 seconds pass
    Then every promise holds

  Scenario: A recall reaches a host that is cut off from everything
    When 10 seconds pass
    And host B is cut off from the store
    And hosts A and B are cut off from each other
    And hosts C and B are cut off from each other
    And version 1 is recalled by host A
    And 20 seconds pass
    And interviewers open 12 chats by host B
    And 30 seconds pass
    Then every promise holds

  Scenario: A recall reaches a host that was cut off when it had just started
    When host B is cut off from the store
    And hosts A and B are cut off from each other
    And hosts C and B are cut off from each other
    And version 1 is recalled by host A
    And 20 seconds pass
    And interviewers open 12 chats by host B
    And 30 seconds pass
    Then every promise holds

  Scenario: A paused host wakes after a recall
    When host B is paused
    And version 1 is recalled by host A
    And 30 seconds pass
    And host B is resumed
    And 1 second passes
    And interviewers open 12 chats by host B
    And 30 seconds pass
    Then every promise holds

  Scenario: An operator makes a change that can't be read
    When an operator drains "(((" by host A
    And 10 seconds pass
    Then the change was refused with BAD_SELECTOR
    And no host has a new revision
    And every promise holds
