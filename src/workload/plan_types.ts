/** What a planning round gets and decides: open steps, starts, queries, and why steps wait. */

import type { Resources } from "../common/mod.ts";
import type { StepEligibility } from "./eligibility.ts";
import type { Runner } from "./runner_table.ts";
import type { EligibilityTimes, StepSpec } from "./types.ts";
import type { UrgencyInput } from "./urgency.ts";

/** A step with tasks that may start now. */
export interface OpenStep extends UrgencyInput {
  readonly job: string;
  readonly occurrence: number;
  readonly step: number;
  readonly spec: StepSpec;
  readonly pool: string;
  readonly workspace: string | undefined;
  /** True when the objective leaves little time beyond the work itself. */
  readonly isTight: boolean;
  readonly eligibility: EligibilityTimes | undefined;
  /** True if a long-running task waits to be restarted. */
  readonly isRestart: boolean;
  /** True if a waiting task is suspected of crashes. */
  readonly isSuspect: boolean;
  /** Name of the job's queue. */
  readonly queue: string;
  /** True if it starts only on the runners for confined steps. */
  readonly isConfined: boolean;
  /** Indexes of the waiting tasks. */
  waiting: number[];
}

/** A task placed on a runner. */
export interface Placement {
  readonly index: number;
  readonly runner: Runner;
  readonly ticket: string;
}

/** Tasks of one step that start together. */
export interface PlannedStart {
  readonly step: OpenStep;
  readonly placements: readonly Placement[];
}

/** A query to send to the eligibility service. */
export interface PlannedQuery {
  readonly step: OpenStep;
  readonly runners: readonly string[];
  /** Runners whose capacity is reserved until the answer, one entry per task. */
  readonly reserve: readonly Runner[];
}

/** Resources in use by one workspace, and its cap. */
export interface WorkspaceUsage {
  used: Resources;
  readonly cap: Resources;
}

/** Input of one planning round. */
export interface PlanInput {
  readonly nowMs: number;
  readonly wallMs: number;
  /** Open steps in the order in which they are planned. */
  readonly steps: readonly OpenStep[];
  readonly runnersByPool: ReadonlyMap<string, readonly Runner[]>;
  readonly getEligibility: (stepKey: string) => StepEligibility | undefined;
  readonly workspaces: ReadonlyMap<string, WorkspaceUsage>;
  /** Capacity reserved for steps with a query in progress, by incarnation and step. */
  readonly reservations: ReadonlyMap<string, ReadonlyMap<string, Resources>>;
  /** Key of the gang that each runner is held for, by incarnation; from the last round. */
  readonly gangHolds: ReadonlyMap<string, string>;
  /** Runners for confined steps only, by incarnation. */
  readonly probation: ReadonlySet<string>;
  /** Tells whether a query to a service with these times could be sent now. Default: it could. */
  readonly mayQuery?: (times: EligibilityTimes) => boolean;
  /** Tasks of steps that can wait which may start in this round. Default: any number. */
  readonly patientStarts?: number;
}

/** Why tasks of a step do not start. */
export type WaitReason =
  /** No runner of the pool could execute the tasks, even when idle. */
  | "noRunner"
  /** No suitable runner has enough free capacity. */
  | "noRoom"
  /** The only runners that could execute the tasks are in evacuated data centres. */
  | "evacuated"
  /** Eligibility or a valid ticket is missing. */
  | "noTicket"
  /** The workspace has reached its cap. */
  | "workspaceCap"
  /** The remaining processors are reserved for urgent steps or waiting gangs. */
  | "keptForUrgent"
  /** The leader has no processor time to spare, and the step can wait. */
  | "leaderBusy"
  /** The round has no starts left; the next one follows at once. */
  | "nextRound";

/** A step whose tasks keep waiting. */
export interface Wait {
  readonly step: OpenStep;
  readonly reason: WaitReason;
}

/** Result of one planning round. */
export interface Plan {
  readonly starts: PlannedStart[];
  readonly queries: PlannedQuery[];
  /** Steps whose tasks keep waiting, with the reason. */
  readonly waits: Wait[];
  /** Key of the gang that each runner is held for, by incarnation; for the next round. */
  readonly gangHolds: Map<string, string>;
}
