Feature: Operators change the table
  Two operators never overwrite each other unseen.

  Scenario: Two operators change the same cell
    Given the day operator has exported a table with weight 1 for the kiosk
    When the night operator sets the weight to 2
    And the day operator applies the export with weight 3
    Then the command ends with status 3
    And it shows base 1, current 2 and 3
    And the weight is 2
