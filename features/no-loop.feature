@no-loop
Feature: No request is ever forwarded in a loop

  Background:
    Given a deployment

  Scenario: Nodes with opposed configurations each think the other better
    When zone "abj-wuse" is cut from "platform"
    And zone "abj-wuse" is cut from "ibd-bodija"
    And zone "abj-wuse" is cut from "phc-transamadi"
    And configuration version 2 is published with a policy that prefers region "abuja"
    Then within 10 seconds node "ibd-bodija-1" has configuration version 2
    And node "abj-wuse-1" has configuration version 1
    When zone "abj-wuse" is joined to "ibd-bodija" again
    And 20 whole requests are sent at "ibd-bodija-1"
    Then every answer is complete or an explicit error
    And no request was forwarded more than once

  Scenario: Every zone is told to send away
    When every model server gets the fault '{"isRefusing":true}'
    And 20 whole requests are sent at "abj-wuse-1"
    Then every answer is the error "overloaded" with outcome "not-run"
    And no request was forwarded more than once

  Scenario: A forged and a repeated hop mark
    When a forged forward is sent to "abj-wuse-1"
    Then it is refused as "hop-refused"
    When a caller marks its own request as forwarded at "abj-wuse-1"
    Then every answer is complete
    When a captured forward is sent twice to "abj-wuse-1"
    Then the second is refused as "hop-refused" with an unknown outcome

  Scenario: A request whose permit is from elsewhere is not passed on from there
    Given a request id issued by "abj-wuse-1"
    When backend server "docket-desk-1" is killed
    And a filing request with that id is sent at "ibd-bodija-1"
    Then every answer has outcome "not-run"
    And no request was forwarded more than once
