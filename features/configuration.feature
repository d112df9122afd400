@configuration
Feature: A configuration, once accepted, is in force everywhere within seconds and never reverts

  Background:
    Given a deployment

  Scenario: A new version is soon in force everywhere
    When configuration version 2 is published
    Then within 5 seconds every node has configuration version 2
    When configuration version 3 is published
    Then within 5 seconds every node has configuration version 3

  Scenario: A node is replaced while the service is stale
    When configuration version 2 is published
    Then within 5 seconds every node has configuration version 2
    When the platform gets the fault '{"staleIndex":0}'
    And node "abj-wuse-1" is killed
    And node "abj-wuse-1" is started again
    Then node "abj-wuse-1" has configuration version 2
    When 3 seconds pass
    Then within 1 seconds every node has configuration version 2

  Scenario: A cut is healed while the service is stale
    When zone "abj-wuse" is cut from everything
    And configuration version 2 is published
    Then within 7 seconds node "ibd-bodija-1" has configuration version 2
    When the platform gets the fault '{"staleIndex":0}'
    And zone "abj-wuse" is joined to everything again
    Then within 15 seconds every node has configuration version 2

  Scenario: A frozen node is thawed
    When node "abj-wuse-1" is frozen
    And configuration version 2 is published
    And 3 seconds pass
    And the platform gets the fault '{"isDown":true}'
    And node "abj-wuse-1" is thawed
    Then within 5 seconds node "abj-wuse-1" has configuration version 2

  Scenario: The platform is down and a peer has the news
    When zone "abj-wuse" is cut from "platform"
    And zone "phc-transamadi" is cut from "platform"
    And configuration version 2 is published
    Then within 7 seconds every node has configuration version 2

  Scenario: Versions of two operators race and one of them is not valid
    When configuration version 2 is published
    And an invalid configuration version 3 is published
    Then node "abj-wuse-1" or another reports a refused configuration
    When configuration version 5 is published
    Then within 7 seconds every node has configuration version 5
    When configuration version 4 is published
    And 3 seconds pass
    Then within 1 seconds every node has configuration version 5

  Scenario: Values at the limit of the service and beyond it
    When configuration version 2 of 1048576 bytes is published
    Then within 7 seconds every node has configuration version 2
    When configuration version 3 of 1048577 bytes is published
    And 4 seconds pass
    Then within 1 seconds every node has configuration version 2
    And node "abj-wuse-1" or another reports a refused configuration
