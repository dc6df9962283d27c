/**
 * Explains where the tasks of a new job would be placed. The decision code of a
 * step runs on a trial state that has copies of the placer's index, the workers
 * and the job's workspace, and no other job. Nothing of it reaches the scheduler.
 */

import {
  fitsWithin,
  type Random,
  type Resources,
  subtractResources,
} from "../common/mod.ts";
import { addJob, checkFeasibility } from "./jobs.ts";
import { countServedBefore } from "./ordering.ts";
import { computeFreeResources } from "./placement.ts";
import { runRound } from "./placement_round.ts";
import type { JobRecord, WorkerRecord } from "./records.ts";
import { createReservations } from "./reservations.ts";
import {
  createState,
  findWorkerObstacle,
  type SchedulerState,
} from "./state.ts";
import type { JobExplanation, JobSpec, WorkerPassReason } from "./types.ts";

/** Tasks of a batch job or service that one explanation places; bounds its cost. */
export const MAX_EXPLAINED_TASKS = 100;

/** Tasks of the largest gang that is explained; a gang is placed whole or not at all. */
export const MAX_EXPLAINED_GANG_TASKS = 500;

/** Workers named in each group; bounds the size of an answer. */
const MAX_EXPLAINED_WORKERS = 20;

interface Trial {
  readonly state: SchedulerState;
  /** Returns whether a pick depended on a random sample of workers. */
  hasSampled(): boolean;
}

function createTrial(live: SchedulerState, spec: JobSpec): Trial {
  let hasSampled = false;
  const pickFirst = () => {
    hasSampled = true;
    return 0;
  };
  // The leader's own random source would pick other workers after an explanation.
  const random: Random = { nextInt: pickFirst, nextFloat: pickFirst };
  const state: SchedulerState = {
    ...createState({
      ...live.options,
      random,
      maxPlacementsPerStep: MAX_EXPLAINED_TASKS,
    }),
    nowMs: live.nowMs,
    fleetSettledAtMs: live.fleetSettledAtMs,
    placer: live.placer.copy(random),
    classes: live.classes,
    capacity: live.capacity,
    committed: live.committed,
    isPlacementSuspended: live.isPlacementSuspended,
  };
  for (const [id, worker] of live.workers) {
    state.workers.set(id, { ...worker, tasks: new Set() });
  }
  const workspace = live.workspaces.get(spec.workspace);
  if (workspace !== undefined) {
    const copy = { ...workspace, placed: new Set<never>() };
    state.workspaces.set(workspace.name, copy);
  }
  return { state, hasSampled: () => hasSampled };
}

function findPassReason(
  worker: WorkerRecord,
  size: Resources,
): WorkerPassReason {
  const obstacle = findWorkerObstacle(worker);
  if (obstacle !== undefined) return obstacle;
  if (worker.isReserved) return "reserved";
  const { placerWorker } = worker;
  if (!fitsWithin(size, placerWorker.capacity)) return "resources";
  const isFree = fitsWithin(size, computeFreeResources(placerWorker));
  return isFree ? "notPicked" : "full";
}

function listPassedOver(
  live: SchedulerState,
  size: Resources,
  chosen: ReadonlyMap<string, number>,
) {
  const groups = new Map<
    WorkerPassReason,
    { count: number; names: string[] }
  >();
  for (const worker of live.fleet) {
    if (chosen.has(worker.id)) continue;
    const reason = findPassReason(worker, size);
    const group = groups.get(reason) ?? { count: 0, names: [] };
    groups.set(reason, group);
    group.count++;
    if (group.names.length < MAX_EXPLAINED_WORKERS) group.names.push(worker.id);
  }
  return [...groups].map(([reason, group]) => ({ reason, ...group }));
}

function countTasksByWorker(trial: SchedulerState): Map<string, number> {
  const tasks = new Map<string, number>();
  for (const action of trial.actions) {
    if (action.type !== "assign") continue;
    tasks.set(action.worker, (tasks.get(action.worker) ?? 0) + 1);
  }
  return tasks;
}

function listUnknown(live: SchedulerState, trial: Trial, job: JobRecord) {
  const { spec } = job;
  const unknown: string[] = [];
  const addIf = (isUnknown: boolean, text: string) => {
    if (isUnknown) unknown.push(text);
  };
  addIf(
    live.nowMs < live.fleetSettledAtMs,
    "The leader is new: workers may be missing until they have announced themselves",
  );
  addIf(
    trial.hasSampled(),
    "Workers are picked from a random sample; others with as much free capacity may be taken",
  );
  addIf(
    spec.policy !== "gang" && spec.tasks > MAX_EXPLAINED_TASKS,
    `Only the first ${MAX_EXPLAINED_TASKS} of ${spec.tasks} tasks were examined`,
  );
  addIf(
    live.probingWorkers.size > 0,
    "Workers are being probed after failures; a probe may take one task of the job",
  );
  addIf(
    live.fleet.some((worker) => worker.isReserved),
    "Workers are held for other jobs; whether short tasks may use them before is not examined",
  );
  addIf(
    job.placed < spec.tasks && (spec.urgent || spec.policy === "gang"),
    "Which running tasks would be ended for the job, or which workers held for it, is not examined",
  );
  return unknown;
}

function findOutcome(trial: SchedulerState, job: JobRecord) {
  const { neverRunnable, spec } = job;
  if (neverRunnable !== undefined) {
    return { outcome: "neverRunnable", neverRunnable } as const;
  }
  if (trial.isPlacementSuspended) {
    return { outcome: "waits", waitsFor: "evacuated" } as const;
  }
  const isGang = spec.policy === "gang";
  if (isGang && spec.tasks > MAX_EXPLAINED_GANG_TASKS) {
    return { outcome: "unknown" } as const;
  }
  const round = runRound(trial, createReservations(trial));
  const examined = isGang
    ? spec.tasks
    : Math.min(spec.tasks, MAX_EXPLAINED_TASKS);
  if (job.placed >= examined) return { outcome: "starts" } as const;
  const waitsFor = round.allotmentLimited.includes(job)
    ? "allotment"
    : "capacity";
  const outcome = job.placed > 0 ? "startsInPart" : "waits";
  return { outcome, waitsFor } as const;
}

/** Explains a new job; changes nothing. Throws a `badRequest` fault on an invalid spec. */
export function explainJob(
  live: SchedulerState,
  spec: JobSpec,
): JobExplanation {
  const trial = createTrial(live, spec);
  addJob(trial.state, spec);
  const job = trial.state.jobs.get(spec.id)!;
  checkFeasibility(trial.state);
  const { workspace } = job;
  const { isKnown, allotment, committed, weight } = workspace;
  const queuesAhead = countServedBefore(live, job);
  const outcome = findOutcome(trial.state, job);
  const chosen = countTasksByWorker(trial.state);
  let all = 0;
  for (const { queuedTasks } of live.workspaces.values()) all += queuedTasks;
  return {
    ...outcome,
    placedTasks: job.placed,
    tasks: spec.tasks,
    limit: {
      weight,
      allotment: isKnown ? allotment : null,
      committed,
      left: isKnown ? subtractResources(allotment, committed) : null,
    },
    waiting: {
      workspace: live.workspaces.get(spec.workspace)?.queuedTasks ?? 0,
      all,
      queuesAhead,
    },
    chosen: [...chosen].slice(0, MAX_EXPLAINED_WORKERS)
      .map(([worker, tasks]) => ({ worker, tasks })),
    chosenWorkers: chosen.size,
    passedOver: listPassedOver(live, job.size, chosen),
    unknown: listUnknown(live, trial, job),
  };
}
