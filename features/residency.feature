@residency
Feature: A request is served only where its residency allows

  Background:
    Given a deployment

  Scenario: Requests enter anywhere and run where they are bound
    When 10 whole requests with residency "abuja" are sent at "ibd-bodija-1"
    Then every answer is complete
    And every answer came from region "abuja"
    When 10 streamed requests of the clerks are sent at "phc-transamadi-2"
    Then every answer is complete
    And every answer came from region "abuja"

  Scenario: A policy that selects a forbidden region cannot widen residency
    When configuration version 2 is published with a policy that prefers region "ibadan"
    Then within 7 seconds every node has configuration version 2
    When 10 whole requests of the clerks are sent at "abj-wuse-1"
    Then every answer has outcome "not-run"
    When 10 whole requests are sent at "abj-wuse-1"
    Then every answer came from region "ibadan"

  Scenario: The home region is lost
    When zone "abj-wuse" is cut from everything
    Then within 15 seconds node "ibd-bodija-1" sees node "abj-wuse-1" as "dead"
    And within 15 seconds node "ibd-bodija-1" sees node "abj-wuse-2" as "dead"
    When 10 whole requests with residency "abuja" are sent at "ibd-bodija-1"
    Then every answer is the error "residency-unavailable" with outcome "not-run"
    And every answer says when to come back
    And every answer came within 2000 ms

  Scenario: Two nodes have different configuration versions
    When zone "abj-wuse" is cut from "platform"
    And node "ibd-bodija-1" is frozen
    And node "ibd-bodija-2" is frozen
    And configuration version 2 is published in which the clerks may be served only in "port-harcourt"
    Then within 10 seconds node "phc-transamadi-1" has configuration version 2
    When node "ibd-bodija-1" is thawed
    And node "ibd-bodija-2" is thawed
    And 20 whole requests of the clerks are sent at "ibd-bodija-1"
    Then no answer came from region "ibadan"

  Scenario: Labels that are missing or contradict each other fail closed
    When 3 whole requests of the clerks with residency "ibadan" are sent at "abj-wuse-1"
    Then every answer is the error "residency-invalid" with outcome "not-run"
    When 3 whole requests with residency "nowhere" are sent at "abj-wuse-1"
    Then every answer is the error "residency-invalid" with outcome "not-run"
    When 3 whole requests with residency "," are sent at "abj-wuse-1"
    Then every answer is the error "residency-invalid" with outcome "not-run"
