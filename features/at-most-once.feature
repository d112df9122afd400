@at-most-once
Feature: A request marked as not repeatable runs at most once

  Background:
    Given a deployment

  Scenario: The same id at the same node and at another gives the same answer
    Given a request id issued by "abj-wuse-1"
    When a not-repeatable request with that id is sent at "abj-wuse-1"
    Then every answer is complete
    When a not-repeatable request with that id is sent at "abj-wuse-1"
    Then every answer is complete
    When a not-repeatable request with that id is sent at "ibd-bodija-1"
    Then every answer is complete
    And that id ran 1 time
    And every caller of that id got the same answer

  Scenario: Many copies at once at two nodes
    Given a request id issued by "ibd-bodija-1"
    When 12 copies of a not-repeatable request with that id are sent at once at "ibd-bodija-1" and "abj-wuse-2"
    Then every answer is complete
    And that id ran 1 time

  Scenario: The node dies while the request runs, and the caller repeats it elsewhere
    Given every model server gets the fault '{"delayMs":1500}'
    And a request id issued by "abj-wuse-1"
    And a not-repeatable request with that id is under way at "abj-wuse-1"
    When node "abj-wuse-1" is killed
    And a not-repeatable request with that id is sent at "abj-wuse-2"
    Then every answer is the error "outcome-unknown" with outcome "unknown"
    When node "abj-wuse-1" is started again
    And a not-repeatable request with that id is sent at "abj-wuse-1"
    Then every answer is the error "outcome-unknown" with outcome "unknown"
    When a not-repeatable request with that id is sent at "abj-wuse-2"
    Then every answer is the error "outcome-unknown" with outcome "unknown"
    And that id ran at most 1 time

  Scenario: The node is frozen while the request runs and thawed afterwards
    Given every model server gets the fault '{"delayMs":1000}'
    And a request id issued by "abj-wuse-1"
    And a not-repeatable request with that id is under way at "abj-wuse-1"
    When node "abj-wuse-1" is frozen
    And a not-repeatable request with that id is sent at "abj-wuse-2" with 2000 ms to answer
    Then every answer is the error "outcome-unknown" with outcome "unknown"
    When node "abj-wuse-1" is thawed
    And the requests under way have ended
    And a not-repeatable request with that id is sent at "abj-wuse-2"
    Then every answer is complete
    And that id ran 1 time

  Scenario: The issuing node is cut off
    Given a request id issued by "abj-wuse-1"
    When a not-repeatable request with that id is sent at "abj-wuse-1"
    Then every answer is complete
    When zone "abj-wuse" is cut from everything
    And a not-repeatable request with that id is sent at "ibd-bodija-1" with 3000 ms to answer
    Then every answer is the error "outcome-unknown" with outcome "unknown"
    When zone "abj-wuse" is joined to everything again
    Then within 20 seconds node "ibd-bodija-1" sees node "abj-wuse-1" as "alive"
    When a not-repeatable request with that id is sent at "ibd-bodija-1"
    Then every answer is complete
    And that id ran 1 time

  Scenario: Engine connections are lost before, during and after the request
    When every model server gets the fault '{"breakAt":"after-run","breaksLeft":3}'
    And 20 not-repeatable requests are sent at "abj-wuse-1"
    Then every answer is complete or an explicit error
    When every model server gets the fault '{"breakAt":"mid-stream","breakAfterTokens":4,"breaksLeft":3}'
    And 20 not-repeatable-streamed requests are sent at "abj-wuse-1"
    Then every answer is complete or an explicit error
    When every model server gets the fault '{"breakAt":"before-run","breaksLeft":3}'
    And 20 not-repeatable requests are sent at "abj-wuse-1"
    Then every answer is complete or an explicit error

  Scenario: Filings at a plain service while its node is killed
    Given a request id issued by "phc-transamadi-1"
    And a filing request with that id is under way at "phc-transamadi-1"
    When node "phc-transamadi-1" is killed
    And a filing request with that id is sent at "phc-transamadi-2"
    Then every answer is the error "outcome-unknown" with outcome "unknown"
    And that id ran at most 1 time
