Feature: An apply under faults of the object store
  An operator's apply is accepted whole or not at all, whatever the store does in the middle. What the
  operator is told is true: "accepted" is in force at every process, "refused" is in force at none, and
  after "unknown" the same apply can be given again without harm.

  Scenario Outline: The store fails at one step of an apply
    Given an accepted configuration
    And the store has the fault <fault> on <times> writes under <prefix>
    When the operator applies a change
    Then the operator is told <told>
    And another process has the change: <in force>
    And the same apply given again is in force once

    Examples:
      | fault          | times | prefix            | told     | in force |
      | refused        | 1     | config/parts/     | refused  | no       |
      | unknown_after  | 1     | config/parts/     | accepted | yes      |
      | unknown_before | 1     | config/parts/     | accepted | yes      |
      | unknown_before | 3     | config/parts/     | refused  | no       |
      | refused        | 1     | config/revisions/ | refused  | no       |
      | unknown_after  | 1     | config/revisions/ | accepted | yes      |
      | unknown_before | 1     | config/revisions/ | accepted | yes      |
      | unknown_before | 3     | config/revisions/ | unknown  | no       |
      | refused        | 1     | config/head       | accepted | yes      |
      | unknown_after  | 1     | config/head       | accepted | yes      |
      | unknown_before | 1     | config/head       | accepted | yes      |
