@together
Feature: Everything fails at once

  Scenario: A zone is cut, a node frozen, an engine killed and the configuration changed under load
    Given a deployment with 3 nodes in each zone
    And a mixed load runs at every node
    And 1 seconds pass
    When zone "abj-wuse" is cut from everything
    And node "ibd-bodija-1" is frozen
    And backend server "quill-scribes-3" is killed
    And configuration version 2 is published
    And 4 seconds pass
    And the VM list says that "quill-scribes-2" is leaving
    And backend server "quill-scribes-5" gets the fault '{"breakAt":"mid-stream","breakAfterTokens":4,"breaksLeft":5}'
    And node "phc-transamadi-2" is killed
    And node "phc-transamadi-1" is told to stop
    And 4 seconds pass
    And node "ibd-bodija-1" is thawed
    And node "phc-transamadi-2" is started again
    And configuration version 3 is published
    And zone "abj-wuse" is joined to everything again
    Then within 20 seconds every remaining node has configuration version 3
    When 3 seconds pass
    And the load stops
    Then at least 40 % of the load was answered
    And no caller was wronged
    And no request was forwarded more than once
    And within 20 seconds no remaining node has a request in flight
