@cut-region
Feature: A region cut off from the others keeps serving its own callers

  Background:
    Given a deployment

  Scenario: A cut region serves its own, through the restart of one of its nodes
    When zone "abj-wuse" is cut from everything
    And 20 whole requests are sent at "abj-wuse-1"
    Then every answer is complete
    And every answer came from region "abuja"
    When node "abj-wuse-1" is killed
    And node "abj-wuse-1" is started again
    Then within 10 seconds node "abj-wuse-1" has configuration version 1
    When 20 streamed requests are sent at "abj-wuse-1"
    Then every answer is complete
    And every answer came from region "abuja"
    When 20 page requests are sent at "abj-wuse-2"
    Then every answer is complete

  Scenario: What it cannot serve gets its answer at once
    When zone "abj-wuse" is cut from everything
    Then within 15 seconds node "abj-wuse-1" sees node "ibd-bodija-1" as "dead"
    And within 15 seconds node "abj-wuse-1" sees node "ibd-bodija-2" as "dead"
    When 10 whole requests with residency "ibadan" are sent at "abj-wuse-1"
    Then every answer is the error "residency-unavailable" with outcome "not-run"
    And every answer came within 2000 ms
    And every answer says when to come back

  @known-red
  Scenario: Healing brings no flood and no reversal
    Given a mixed load runs at every node
    When zone "abj-wuse" is cut from everything
    And configuration version 2 is published
    Then within 10 seconds node "ibd-bodija-1" has configuration version 2
    And node "abj-wuse-1" has configuration version 1
    When 6 seconds pass
    And zone "abj-wuse" is joined to everything again
    Then within 15 seconds every node has configuration version 2
    And within 20 seconds node "abj-wuse-1" sees node "ibd-bodija-1" as "alive"
    When the load stops
    Then at least 60 % of the load was answered
    And no caller was wronged
    And at most 5 % of the load of "abj-wuse" was served away
