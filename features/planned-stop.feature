@planned-stop
Feature: A planned stop of any VM interrupts no request in flight

  Background:
    Given a deployment

  Scenario: An entry VM is told to stop while long streams run
    Given 10 streamed requests of 500 tokens are under way at "abj-wuse-1"
    And 5 not-repeatable requests of 300 tokens are under way at "abj-wuse-1"
    When node "abj-wuse-1" is told to stop
    And 300 milliseconds pass
    And 5 whole requests are sent at "abj-wuse-1"
    Then every answer is the error "leaving" with outcome "not-run"
    And every answer names other entry VMs than "abj-wuse-1"
    When the requests under way have ended
    Then every answer is complete
    And node "abj-wuse-1" ends well within 20 seconds

  Scenario: An entry VM that passes requests on is drained
    Given 6 streamed requests of 500 tokens bound to "ibadan" are under way at "abj-wuse-2"
    When node "abj-wuse-2" is drained
    And the requests under way have ended
    Then every answer is complete
    And node "abj-wuse-2" ends well within 20 seconds

  Scenario: A node that serves for other zones is drained
    Given 10 streamed requests of 500 tokens bound to "ibadan" are under way at "abj-wuse-1"
    When node "ibd-bodija-1" is drained
    And the requests under way have ended
    Then every answer is complete
    And node "ibd-bodija-1" ends well within 20 seconds
    When 10 whole requests with residency "ibadan" are sent at "abj-wuse-1"
    Then every answer is complete

  Scenario: Callers are not sent to an entry VM that is leaving
    Given 2 streamed requests of 500 tokens are under way at "abj-wuse-1"
    When node "abj-wuse-1" is told to stop
    And 1 seconds pass
    Then "abj-wuse-2" does not offer "abj-wuse-1" as an entry VM
    When the requests under way have ended
    Then every answer is complete

  Scenario: The VM of a backend server is stopped after its announcement
    Given 10 streamed requests of 300 tokens are under way at "abj-wuse-1"
    When the VM list says that "quill-scribes-1" is leaving
    And 3 seconds pass
    And backend server "quill-scribes-1" is killed
    And the requests under way have ended
    Then every answer is complete
    When 10 whole requests with residency "abuja" are sent at "abj-wuse-1"
    Then every answer is complete
