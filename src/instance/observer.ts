/**
 * Records the metrics of one instance, and its service-level events for the burn
 * report.
 */

import {
  type Clock,
  type Fault,
  type FaultKind,
  isFault,
  toFault,
} from "../common/mod.ts";
import type { TaskOutcome } from "../data_centre/job_records.ts";
import {
  type BurnRecorder,
  createBurnRecorder,
  createMetrics,
  type Metrics,
  OBJECTIVE_NAMES,
  type Objectives,
  resolveObjectives,
} from "../report/mod.ts";
import type {
  ObjectiveSetSettings,
  ObjectiveSettings,
} from "../settings/mod.ts";
import type { JobSpec, SchedulerStatus } from "../scheduling/mod.ts";

/**
 * Fault kinds caused by the caller or by limits that operators set. They do not
 * count against the service-level objectives.
 */
const EXCLUDED_FAULT_KINDS: ReadonlySet<FaultKind> = new Set([
  "badRequest",
  "unauthenticated",
  "forbidden",
  "notFound",
  "requestIdConflict",
  "tooLarge",
  "limitReached",
  "cancelled",
]);

/** Options of an observer. */
export interface ObserverOptions {
  instance: string;
  dataCentre: string;
  clock: Clock;
  /** Service-level objectives that override the defaults. */
  objectives?: ObjectiveSettings | undefined;
}

/** Records metrics and service-level events. */
export interface Observer {
  readonly metrics: Metrics;
  readonly burn: BurnRecorder;
  recordHttpAnswer(route: string, status: number, durationMs: number): void;
  /** Runs a caller's request and records its outcome. */
  runRequest<T>(workspace: string, run: () => Promise<T>): Promise<T>;
  /** Records a granted slot and the wait for it in milliseconds. */
  recordSlot(workspace: string, waitedMs: number, attempt: number): void;
  recordTaskStart(spec: JobSpec, waitedMs: number): void;
  recordTaskEnd(outcome: TaskOutcome): void;
  recordElection(group: string): void;
  /** Samples how far each active workspace is below its share. */
  recordShares(status: SchedulerStatus): void;
}

/**
 * Computes how far each workspace with running or queued tasks is below its
 * share, from 0 to 1. Without queued tasks the distance is 0, since the
 * workspace has all it needs.
 */
export function computeShareDistances(
  status: SchedulerStatus,
): Map<string, number> {
  const active = status.workspaces.filter((workspace) =>
    workspace.dominantShare > 0 || workspace.queuedTasks > 0
  );
  const totalWeight = active.reduce(
    (sum, workspace) => sum + workspace.weight,
    0,
  );
  const totalShare = active.reduce(
    (sum, workspace) => sum + workspace.dominantShare,
    0,
  );
  const distances = new Map<string, number>();
  for (const workspace of active) {
    const entitledShare = workspace.weight / totalWeight;
    const actualShare = totalShare > 0
      ? workspace.dominantShare / totalShare
      : 0;
    const isWaiting = workspace.queuedTasks > 0;
    distances.set(
      workspace.workspace,
      isWaiting ? Math.max(0, entitledShare - actualShare) : 0,
    );
  }
  return distances;
}

function toObjectives(settings: ObjectiveSettings = {}): Objectives {
  const pickSet = (set: ObjectiveSetSettings) =>
    Object.fromEntries(
      OBJECTIVE_NAMES.flatMap((name) =>
        set[name] === undefined ? [] : [[name, set[name]]]
      ),
    );
  return resolveObjectives({
    default: pickSet(settings.default ?? {}),
    workspaces: Object.fromEntries(
      (settings.workspaces ?? []).map((set) => [set.workspace, pickSet(set)]),
    ),
  });
}

/** Creates an observer with empty counts. */
export function createObserver(options: ObserverOptions): Observer {
  const { instance, dataCentre, clock } = options;
  const metrics = createMetrics({
    labels: { instance, data_centre: dataCentre },
  });
  const burn = createBurnRecorder({
    instance,
    clock,
    objectives: toObjectives(options.objectives),
  });

  function recordFault(
    workspace: string,
    fault: Fault,
    durationMs: number,
  ): void {
    metrics.addCount("requests_total", { workspace, outcome: fault.kind });
    if (EXCLUDED_FAULT_KINDS.has(fault.kind)) return;
    burn.recordAnswer(workspace, {
      answered: fault.ran === "no",
      onTime: false,
      durationMs,
    });
  }

  return {
    metrics,
    burn,
    recordHttpAnswer(route, status, durationMs) {
      metrics.addCount("http_answers_total", { route, status: String(status) });
      metrics.recordDuration("http_duration_ms", durationMs, { route });
    },
    async runRequest(workspace, run) {
      const startMs = clock.now();
      try {
        const answer = await run();
        const durationMs = clock.now() - startMs;
        metrics.addCount("requests_total", { workspace, outcome: "answered" });
        metrics.recordDuration("request_duration_ms", durationMs, {
          workspace,
        });
        burn.recordAnswer(workspace, {
          answered: true,
          onTime: true,
          durationMs,
        });
        return answer;
      } catch (error) {
        const fault = isFault(error) ? error : toFault(error);
        recordFault(workspace, fault, clock.now() - startMs);
        throw error;
      }
    },
    recordSlot(workspace, waitedMs, attempt) {
      metrics.addCount("slot_grants_total");
      if (attempt > 0) metrics.addCount("request_retries_total", { workspace });
      metrics.recordDuration("request_wait_ms", waitedMs, { workspace });
      burn.recordWaiting(workspace, waitedMs);
    },
    recordTaskStart(spec, waitedMs) {
      const { policy, workspace } = spec;
      metrics.addCount("task_starts_total", { policy });
      metrics.recordDuration("task_wait_ms", waitedMs, { policy });
      burn.recordWaiting(workspace, waitedMs);
    },
    recordTaskEnd: (outcome) =>
      metrics.addCount("task_ends_total", { outcome }),
    recordElection: (group) =>
      metrics.addCount("log_elections_total", { group }),
    recordShares(status) {
      for (const [workspace, distance] of computeShareDistances(status)) {
        burn.recordShare(workspace, distance);
      }
    },
  };
}
