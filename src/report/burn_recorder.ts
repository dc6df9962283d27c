/** Records what the objectives of workspaces are about, on one instance. */

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

/** How a request ended for its caller. */
export interface AnswerRecord {
  /** False when the caller got no answer of an endpoint and no true refusal. */
  readonly answered: boolean;
  /** False when the answer came after the deadline, or not at all. */
  readonly onTime: boolean;
  /** From the arrival of the request to its answer, in milliseconds. */
  readonly durationMs: number;
}

/** The counts of one objective. */
export interface ObjectiveSnapshot {
  readonly target: number;
  readonly limit?: number;
  readonly windows: Readonly<Record<WindowName, EventCounts>>;
  readonly budget: EventCounts;
  readonly series: EventSeries;
}

/** The counts of one workspace. */
export interface WorkspaceSnapshot {
  /** Objectives that have counts. */
  readonly objectives: Readonly<
    Partial<Record<ObjectiveName, ObjectiveSnapshot>>
  >;
  /** Encoded histogram of answer times since the start of the process. */
  readonly answerTimes: string;
  /** Encoded histogram of waiting times since the start of the process. */
  readonly waitingTimes: string;
}

/** What one instance has recorded; plain JSON. */
export interface BurnSnapshot {
  readonly instance: string;
  /** Wall time of the start of recording, in milliseconds; earlier events are lost. */
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

/** Records events by workspace. */
export interface BurnRecorder {
  /** An entry instance reports each request that its caller did not cancel. */
  recordAnswer(workspace: string, answer: AnswerRecord): void;
  /** A leader reports how long a request or task waited, in milliseconds. */
  recordWaiting(workspace: string, waitedMs: number): void;
  /** A leader samples the distance from share, 0 to 1, at even times. */
  recordShare(workspace: string, distance: number): void;
  takeSnapshot(): Promise<BurnSnapshot>;
}

interface WorkspaceRecord {
  readonly counts: Map<ObjectiveName, WindowCounts>;
  readonly answerTimes: DurationHistogram;
  readonly waitingTimes: DurationHistogram;
}

/** Creates an empty recorder. Workspaces use memory from their first event on. */
export function createBurnRecorder(options: BurnRecorderOptions): BurnRecorder {
  const { clock, objectives } = options;
  const workspaces = new Map<string, WorkspaceRecord>();
  // Wall time that does not jump: a corrected system clock must not empty the windows.
  const originMs = clock.wallTime() - clock.now();
  const getTime = () => originMs + clock.now();
  const sinceMs = getTime();

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
    objective.record(getTime(), isGood);
  }

  function getLimit(workspace: string, name: ObjectiveName): number {
    return getObjective(objectives, workspace, name).limit ?? Infinity;
  }

  function takeObjective(
    workspace: string,
    name: ObjectiveName,
    counts: WindowCounts,
  ): ObjectiveSnapshot {
    const atMs = getTime();
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

  function takeWorkspace(
    workspace: string,
    record: WorkspaceRecord,
  ): WorkspaceSnapshot {
    const taken: Partial<Record<ObjectiveName, ObjectiveSnapshot>> = {};
    for (const name of OBJECTIVE_NAMES) {
      const counts = record.counts.get(name);
      if (counts !== undefined) {
        taken[name] = takeObjective(workspace, name, counts);
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
    recordShare(workspace, distance) {
      recordEvent(workspace, "share", distance <= getLimit(workspace, "share"));
    },
    async takeSnapshot() {
      const taken: Record<string, WorkspaceSnapshot> = {};
      await runInBatches(workspaces, ([workspace, record]) => {
        taken[workspace] = takeWorkspace(workspace, record);
      });
      return {
        instance: options.instance,
        sinceMs,
        takenAtMs: getTime(),
        workspaces: taken,
      };
    },
  };
}
