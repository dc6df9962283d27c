/** Records the events measured by the service-level objectives, on one instance. */

import type { Clock } from "../common/mod.ts";
import { createDurationHistogram } from "./duration_histogram.ts";
import type { DurationHistogram } from "./duration_histogram.ts";
import { getObjective, OBJECTIVE_NAMES } from "./objectives.ts";
import type { ObjectiveName, Objectives } from "./objectives.ts";
import { runInBatches } from "./event_loop.ts";
import { createWindowCounts, WINDOW_NAMES } from "./window_counts.ts";
import type {
  EventCounts,
  EventSeries,
  WindowCounts,
  WindowName,
} from "./window_counts.ts";

/** Outcome of a request as seen by its caller. */
export interface AnswerRecord {
  /** True for an answer from an endpoint, and for a rejection that guarantees the request did not run. */
  readonly answered: boolean;
  /** False if the answer missed the deadline or never came. */
  readonly onTime: boolean;
  /** Time from the arrival of the request to its answer, in milliseconds. */
  readonly durationMs: number;
}

/** Event counts of one objective. */
export interface ObjectiveSnapshot {
  readonly target: number;
  readonly limit?: number;
  readonly windows: Readonly<Record<WindowName, EventCounts>>;
  readonly budget: EventCounts;
  readonly series: EventSeries;
}

/** Event counts and durations of one workspace. */
export interface WorkspaceSnapshot {
  /** Objectives with at least one event. */
  readonly objectives: Readonly<
    Partial<Record<ObjectiveName, ObjectiveSnapshot>>
  >;
  /** Encoded histogram of response times since the start of the process. */
  readonly answerTimes: string;
  /** Encoded histogram of waiting times since the start of the process. */
  readonly waitingTimes: string;
}

/** Everything one instance has recorded; can be serialized as JSON. */
export interface BurnSnapshot {
  readonly instance: string;
  /** Wall time at which recording started, in milliseconds; earlier events are not included. */
  readonly sinceMs: number;
  /** Wall time of the snapshot, in milliseconds. */
  readonly takenAtMs: number;
  readonly workspaces: Readonly<Record<string, WorkspaceSnapshot>>;
}

/** Options of a recorder. */
export interface BurnRecorderOptions {
  readonly instance: string;
  readonly clock: Clock;
  readonly objectives: Objectives;
}

/** Records events per workspace. */
export interface BurnRecorder {
  /** Called by an entry instance for each request that its caller did not cancel. */
  recordAnswer(workspace: string, answer: AnswerRecord): void;
  /** Called by a leader with the time a request or task waited, in milliseconds. */
  recordWaiting(workspace: string, waitedMs: number): void;
  /** Called by a leader at regular intervals with the shortfall from the fair share, 0 to 1. */
  recordShare(workspace: string, shortfall: number): void;
  takeSnapshot(): Promise<BurnSnapshot>;
}

interface WorkspaceRecord {
  readonly counts: Map<ObjectiveName, WindowCounts>;
  readonly answerTimes: DurationHistogram;
  readonly waitingTimes: DurationHistogram;
}

/** Creates an empty recorder. Allocates memory for a workspace on its first event. */
export function createBurnRecorder(options: BurnRecorderOptions): BurnRecorder {
  const { clock, objectives } = options;
  const workspaces = new Map<string, WorkspaceRecord>();
  // Derives wall time from the monotonic clock: a system clock adjustment must not empty the windows.
  const originMs = clock.wallTime() - clock.now();
  const getTimeMs = () => originMs + clock.now();
  const sinceMs = getTimeMs();

  function getWorkspace(workspace: string): WorkspaceRecord {
    let record = workspaces.get(workspace);
    if (record === undefined) {
      record = {
        counts: new Map(),
        answerTimes: createDurationHistogram(),
        waitingTimes: createDurationHistogram(),
      };
      workspaces.set(workspace, record);
    }
    return record;
  }

  function recordEvent(
    workspace: string,
    name: ObjectiveName,
    isGood: boolean,
  ) {
    const { counts } = getWorkspace(workspace);
    let objective = counts.get(name);
    if (objective === undefined) {
      objective = createWindowCounts();
      counts.set(name, objective);
    }
    objective.record(getTimeMs(), isGood);
  }

  function getLimit(workspace: string, name: ObjectiveName): number {
    return getObjective(objectives, workspace, name).limit ?? Infinity;
  }

  function buildObjectiveSnapshot(
    workspace: string,
    name: ObjectiveName,
    counts: WindowCounts,
  ): ObjectiveSnapshot {
    const atMs = getTimeMs();
    const windows = Object.fromEntries(
      WINDOW_NAMES.map((window) => [window, counts.getWindow(atMs, window)]),
    ) as Record<WindowName, EventCounts>;
    return {
      ...getObjective(objectives, workspace, name),
      windows,
      budget: counts.getBudget(atMs),
      series: counts.getSeries(atMs),
    };
  }

  function buildWorkspaceSnapshot(
    workspace: string,
    record: WorkspaceRecord,
  ): WorkspaceSnapshot {
    const taken: Partial<Record<ObjectiveName, ObjectiveSnapshot>> = {};
    for (const name of OBJECTIVE_NAMES) {
      const counts = record.counts.get(name);
      if (counts !== undefined) {
        taken[name] = buildObjectiveSnapshot(workspace, name, counts);
      }
    }
    return {
      objectives: taken,
      answerTimes: record.answerTimes.encode(),
      waitingTimes: record.waitingTimes.encode(),
    };
  }

  return {
    recordAnswer(workspace, { answered, onTime, durationMs }) {
      recordEvent(workspace, "answered", answered);
      recordEvent(workspace, "answeredOnTime", answered && onTime);
      getWorkspace(workspace).answerTimes.record(durationMs);
    },
    recordWaiting(workspace, waitedMs) {
      recordEvent(
        workspace,
        "waiting",
        waitedMs <= getLimit(workspace, "waiting"),
      );
      getWorkspace(workspace).waitingTimes.record(waitedMs);
    },
    recordShare(workspace, shortfall) {
      recordEvent(
        workspace,
        "share",
        shortfall <= getLimit(workspace, "share"),
      );
    },
    async takeSnapshot() {
      const taken: Record<string, WorkspaceSnapshot> = {};
      await runInBatches(workspaces, ([workspace, record]) => {
        taken[workspace] = buildWorkspaceSnapshot(workspace, record);
      });
      return {
        instance: options.instance,
        sinceMs,
        takenAtMs: getTimeMs(),
        workspaces: taken,
      };
    },
  };
}
