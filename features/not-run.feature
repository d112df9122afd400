@not-run
Feature: When a caller is told that its request was not run, it was not run

  Background:
    Given a deployment

  Scenario: Every engine refuses
    When every model server gets the fault '{"isRefusing":true}'
    And 10 whole requests are sent at "abj-wuse-1"
    Then every answer is the error "overloaded" with outcome "not-run"
    And every answer says when to come back

  Scenario: Connections break before anything runs: nobody can know, so the outcome is unknown
    When every model server gets the fault '{"breakAt":"before-run","breaksLeft":1000}'
    And 5 not-repeatable requests are sent at "abj-wuse-1"
    Then every answer is the error "outcome-unknown" with outcome "unknown"

  Scenario: Connections break after the request ran
    When every model server gets the fault '{"breakAt":"after-run","breaksLeft":1000}'
    And 5 not-repeatable requests are sent at "abj-wuse-1"
    Then every answer is the error "outcome-unknown" with outcome "unknown"
    When 5 whole requests are sent at "abj-wuse-1"
    Then every answer has outcome "unknown"

  Scenario: An engine is killed and another refuses
    When backend server "quill-scribes-1" is killed
    And backend server "quill-scribes-4" gets the fault '{"isRefusing":true}'
    And 10 whole requests with residency "abuja" are sent at "abj-wuse-1"
    Then every answer has outcome "not-run"
    When 5 not-repeatable requests with residency "abuja" are sent at "abj-wuse-1"
    Then every answer has outcome "not-run"
