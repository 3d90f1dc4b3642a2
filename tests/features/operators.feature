Feature: Operators change the table
  An accepted change is in force everywhere or the operator is told where it is not, and two
  operators never overwrite each other unseen.

  Scenario: Two operators change the same cell
    Given the table holds weight 1 for the kiosk
    And the day operator has exported the table
    When the night operator sets the weight to 2
    And the day operator applies the export with weight 3
    Then the command ends with status 3
    And it shows base 1, current 2 and 3
    And the weight is 2

  Scenario: The outcome of a change is not known at first
    Given the table holds weight 1 for the kiosk
    And the store answers too late
    When the night operator sets the weight to 2
    Then the command ends with status 0
    And the weight is 2
    And the history has 2 changes

  Scenario: A host is cut off
    Given the table holds weight 1 for the kiosk
    And a second host is listed that does not answer
    When the night operator sets the weight to 2
    And asks where it is in force
    Then the command ends with status 5
    And it names the second host and why it is missing
