@own-answer
Feature: Each caller receives the complete answer to its own request

  Background:
    Given a deployment

  Scenario: Many streams at once
    When 60 streamed requests are sent at "abj-wuse-1"
    Then every answer is complete

  Scenario Outline: A stream breaks after <tokens> tokens and is taken up again
    When every model server gets the fault '{"breakAt":"mid-stream","breakAfterTokens":<tokens>,"breaksLeft":1}'
    And 6 streamed requests are sent at "abj-wuse-1"
    Then every answer is complete

    Examples:
      | tokens |
      | 0      |
      | 1      |
      | 7      |
      | 11     |

  Scenario: Engines repeat events, leave some out, and mix in those of others
    When backend server "quill-scribes-1" gets the fault '{"isRepeating":true}'
    And 20 streamed requests are sent at "abj-wuse-1"
    Then every answer is complete
    When backend server "quill-scribes-1" gets the fault '{"isRepeating":false,"gapAt":5}'
    And 10 streamed requests are sent at "abj-wuse-1"
    Then every answer is complete
    When backend server "quill-scribes-1" gets the fault '{"gapAt":-1,"hasForeignEvent":true}'
    And 10 streamed requests are sent at "abj-wuse-1"
    Then every answer is complete

  Scenario: An engine answers in the name of another attempt
    When backend server "quill-scribes-1" gets the fault '{"isForeign":true}'
    And 10 streamed requests are sent at "abj-wuse-1"
    Then every answer is complete
    When 10 whole requests are sent at "abj-wuse-1"
    Then every answer is complete

  Scenario: Answers come late, callers hang up, and connections are used again
    When backend server "quill-scribes-1" gets the fault '{"delayMs":800}'
    And 10 streamed requests at "abj-wuse-1" hang up after 400 ms
    And 20 whole requests are sent at "abj-wuse-1"
    Then every answer is complete
    And within 10 seconds no node has a request in flight
    And within 10 seconds no backend server runs anything

  Scenario: A node of another zone dies in the middle of streams
    Given 6 streamed requests of 400 tokens are under way at "abj-wuse-1"
    When backend server "quill-scribes-1" is killed
    And the requests under way have ended
    Then every answer is complete
