@leaving
Feature: A backend server that is leaving receives no new work after a few seconds

  Background:
    Given a deployment
    And a mixed load runs at every node
    And 1 seconds pass

  Scenario: The VM list says so
    Then "quill-scribes-1" has begun requests
    When I note the time
    And the VM list says that "quill-scribes-1" is leaving
    And 7 seconds pass
    And the load stops
    Then "quill-scribes-1" began no request that was sent more than 3 seconds after

  Scenario: The VM list is late and the platform down, and the server itself says so
    When the platform gets the fault '{"isDown":true}'
    And I note the time
    And backend server "quill-scribes-1" gets the fault '{"isLeaving":true}'
    And 7 seconds pass
    And the load stops
    Then "quill-scribes-1" began no request that was sent more than 3 seconds after

  Scenario: One node is frozen through the announcement and thawed afterwards
    When node "abj-wuse-1" is frozen
    And 2 seconds pass
    And I note the time
    And backend server "quill-scribes-1" gets the fault '{"isLeaving":true}'
    And 5 seconds pass
    And the platform gets the fault '{"isDown":true}'
    And node "abj-wuse-1" is thawed
    And 4 seconds pass
    And the load stops
    Then "quill-scribes-1" began no request that was sent more than 3 seconds after
    And "quill-scribes-1" began nothing more than 3 seconds after
