/**
 * Assigns runs to runners, and stops, ends and releases them. Releasing a run frees what
 * it occupies on its runner; ending it records its outcome. The two are separate, since a
 * run may still occupy its runner after its end, or have left it before.
 */

import type { Clock } from "../common/mod.ts";
import { getCrashWindow } from "./crash_recorder.ts";
import type { OpenStarts } from "./open_starts.ts";
import type { PlacedRuns } from "./placed_runs.ts";
import type { Session } from "./runner_sessions.ts";
import {
  addOccupant,
  formatRun,
  hasOpenStart,
  type Occupant,
  removeOccupant,
  type Runner,
} from "./runner_table.ts";
import {
  formatStep,
  type RunOutcome,
  type TaskRef,
  type WorkRecord,
} from "./types.ts";
import {
  countCrashes,
  isOpenJob,
  TASK_STATUS,
  type WorkState,
} from "./work_state.ts";
import type { WorkspaceUsageTracker } from "./workspace_use.ts";

/** Options of the runs. */
export interface FleetRunsOptions {
  clock: Clock;
  state: Pick<WorkState, "getJob" | "getTask">;
  workspaces: WorkspaceUsageTracker;
  /** The incarnations in use. */
  sessions: ReadonlyMap<string, Session>;
  /** Receives the starts without a reply of released runs. */
  openStarts: Pick<OpenStarts, "add">;
  /** Receives the placed runs. */
  placedRuns: Pick<PlacedRuns, "add" | "remove">;
  /** Writes records to the log; resolves to false if they were not committed or the leadership has ended. */
  record: (records: readonly WorkRecord[]) => Promise<boolean>;
  /** Called when free capacity or waiting tasks may have changed. */
  handleChange: () => void;
}

/** A run and its newest checkpoint. */
export interface RunView {
  readonly task: TaskRef;
  readonly run: number;
  readonly checkpoint: string;
}

/** The runs on the runners of one leadership. */
export interface FleetRuns {
  /** Assigns a run to a runner; returns undefined if the job is unknown. Default: a suspect if its task counts crashes. */
  assignRun(
    runner: Runner,
    task: TaskRef,
    run: number,
    occupantState: Occupant["state"],
    isSuspect?: boolean,
  ): Occupant | undefined;
  /** Removes a run from its runner, unless that was done before; returns whether it was there. */
  removeRun(runner: Runner, occupant: Occupant): boolean;
  /** Removes a run from its runner, and remembers its start if that may still arrive. */
  release(runner: Runner, occupant: Occupant): void;
  /** Tells whether a run is recorded as the active one of its task. */
  isRecordedActive(task: TaskRef, run: number): boolean;
  /** Tells whether a run is the current one of an unfinished task. */
  isWanted(task: TaskRef, run: number): boolean;
  /** Creates the record of an end at the present time. */
  createEnd(view: RunView, outcome: RunOutcome): WorkRecord;
  /** Records the end of those runs that are still current. */
  endRuns(runs: readonly RunView[], outcome: RunOutcome): Promise<void>;
  stopRun(session: Session, occupant: Occupant): void;
  /** Stops all members of one run of a gang. */
  stopGang(task: TaskRef, run: number): void;
  /** Stops all runs of a job. */
  stopJob(id: string): void;
}

/** Creates the functions for the runs of one leadership. */
export function createFleetRuns(options: FleetRunsOptions): FleetRuns {
  const { clock, state, workspaces, sessions, openStarts, placedRuns } =
    options;

  function assignRun(
    runner: Runner,
    task: TaskRef,
    run: number,
    occupantState: Occupant["state"],
    isSuspect = false,
  ): Occupant | undefined {
    const job = state.getJob(task.job);
    const resources = job?.spec.steps[task.step]?.resources;
    if (job === undefined || resources === undefined) return undefined;
    const key = formatRun(task, run);
    const known = runner.occupants.get(key);
    if (known !== undefined) return known;
    workspaces.add(job.spec.workspace, resources);
    const occupant = addOccupant(
      runner,
      {
        task,
        run,
        resources,
        isSuspect: isSuspect || countCrashes(state.getTask(task)) > 0,
        crashWindowMs: getCrashWindow(state.getTask(task)),
      },
      occupantState,
      clock.now(),
    );
    if (occupantState === "planned") placedRuns.add({ runner, occupant });
    return occupant;
  }

  function removeRun(runner: Runner, occupant: Occupant): boolean {
    if (!removeOccupant(runner, occupant.key)) return false;
    placedRuns.remove(occupant);
    const job = state.getJob(occupant.task.job);
    workspaces.remove(job?.spec.workspace, occupant.resources);
    return true;
  }

  function release(runner: Runner, occupant: Occupant): void {
    if (!removeRun(runner, occupant)) return;
    const { task, run, openStartMs: sentMs } = occupant;
    if (sentMs === undefined || !hasOpenStart(occupant, clock.now())) return;
    openStarts.add({ runnerId: runner.entry.id, task, run, sentMs });
  }

  function isOpen(id: string): boolean {
    const job = state.getJob(id);
    return job !== undefined && isOpenJob(job);
  }

  function isRecordedActive(task: TaskRef, run: number): boolean {
    const recorded = state.getTask(task);
    return recorded !== undefined && recorded.run === run &&
      recorded.status === TASK_STATUS.active;
  }

  function isWanted(task: TaskRef, run: number): boolean {
    return isOpen(task.job) && isRecordedActive(task, run);
  }

  function createEnd(
    { task, run, checkpoint }: RunView,
    outcome: RunOutcome,
  ): WorkRecord {
    const atMs = clock.wallTime();
    return { kind: "end", task, run, outcome, checkpoint, atMs };
  }

  async function endRuns(
    runs: readonly RunView[],
    outcome: RunOutcome,
  ): Promise<void> {
    const records = runs
      .filter(({ task, run }) => isRecordedActive(task, run))
      .map((view) => createEnd(view, outcome));
    if (records.length === 0) return;
    await options.record(records);
    options.handleChange();
  }

  function stopRun(session: Session, occupant: Occupant): void {
    if (occupant.state === "stopping") return;
    occupant.state = "stopping";
    void session.driver.runStop(occupant).then((isAnswered) => {
      if (!isAnswered) return;
      occupant.stoppedMs = clock.now();
      // A run that never started has no end, so the pending long poll would not
      // return for it.
      const isOpen = !occupant.isListed &&
        session.runner.occupants.has(occupant.key);
      if (isOpen) session.driver.startPoll();
    });
  }

  /** Stops the matching runs for which a start was sent. */
  function stopRuns(fits: (occupant: Occupant) => boolean): void {
    for (const session of sessions.values()) {
      for (const occupant of [...session.runner.occupants.values()]) {
        const isOrdered = occupant.state !== "planned";
        if (isOrdered && fits(occupant)) stopRun(session, occupant);
      }
    }
  }

  function stopGang(task: TaskRef, run: number): void {
    const step = formatStep(task);
    stopRuns((other) => other.run === run && formatStep(other.task) === step);
  }

  function stopJob(id: string): void {
    stopRuns(({ task }) => task.job === id);
  }

  return {
    assignRun,
    removeRun,
    release,
    isRecordedActive,
    isWanted,
    createEnd,
    endRuns,
    stopRun,
    stopGang,
    stopJob,
  };
}
