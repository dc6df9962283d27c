/**
 * Records the starts that a planning round has decided, and then orders them. What has
 * become impossible meanwhile is given back: the task starts elsewhere.
 */

import type { Clock, Logger } from "../common/mod.ts";
import type { Metrics } from "../report/metrics.ts";
import type { BegunJobs } from "./begun_jobs.ts";
import type { EligibilityCache } from "./eligibility.ts";
import type { OpenSteps } from "./open_steps.ts";
import type { PlannedStart } from "./plan_types.ts";
import type { RunnerFleet } from "./runner_fleet.ts";
import type { StartResult } from "./runner_driver.ts";
import type { Session } from "./runner_sessions.ts";
import type { Occupant } from "./runner_table.ts";
import {
  createStartObstacles,
  type StartObstacle,
  type StartObstaclesOptions,
} from "./start_obstacles.ts";
import { createStartTrace, type StartTrace } from "./start_trace.ts";
import { formatStep, type WorkRecord } from "./types.ts";
import type { WorkState } from "./work_state.ts";

/** Time from the decision to the runner's reply from which a start is logged as slow, in milliseconds; several times the usual. */
const SLOW_START_MS = 250;

/** Time from the moment at which a suspect has outlived its start to the poll that shows it, in milliseconds. */
const START_PROOF_SLACK_MS = 50;

/** A recorded start that is to be sent. */
interface Order {
  readonly session: Session;
  readonly occupant: Occupant;
  readonly ticket: string;
  readonly trace: StartTrace;
}

/** Options of the starts. */
export interface StartOrdersOptions extends StartObstaclesOptions {
  clock: Clock;
  logger: Logger;
  metrics?: Pick<Metrics, "addCount" | "recordDuration">;
  state: Pick<WorkState, "getJob" | "getTask">;
  fleet: RunnerFleet;
  begunJobs: Pick<BegunJobs, "add">;
  eligibility: Pick<EligibilityCache, "removeTicket">;
  openSteps: Pick<OpenSteps, "setPlanned" | "clearPlanned">;
  /** Writes records to the log; resolves to false if they were not committed or the leadership has ended. */
  record: (records: readonly WorkRecord[]) => Promise<boolean>;
  /** Returns whether the leadership has ended. */
  isStopped: () => boolean;
  /** Called when a runner has refused a start of a queue for lack of a ticket. */
  handleTicketRefusal: (queue: string) => void;
}

/** The starts of one leadership. */
export interface StartOrders {
  /** Records a decided start and orders its runs. */
  startPlanned(start: PlannedStart): Promise<void>;
}

/** Creates the starts of one leadership. */
export function createStartOrders(options: StartOrdersOptions): StartOrders {
  const { clock, logger, metrics, state, fleet, openSteps } = options;
  const findObstacle = createStartObstacles(options);

  /** Polls the runner once a suspect has outlived its start, so that it counts as harmless. */
  function startProof({ runner, driver }: Session, occupant: Occupant): void {
    clock.setTimer(occupant.crashWindowMs + START_PROOF_SLACK_MS, () => {
      const isThere = !options.isStopped() && !runner.isClosed &&
        runner.occupants.has(occupant.key);
      if (isThere) driver.startPoll();
    });
  }

  function recordMetrics(result: StartResult, trace: StartTrace): void {
    metrics?.addCount("run_starts_total", { result });
    if (trace.getSinceDrainingMs() !== undefined) {
      metrics?.addCount("draining_runner_starts_total");
    }
    const deliveryMs = trace.getDeliveryMs();
    if (deliveryMs === undefined) return;
    metrics?.recordDuration("run_start_delivery_ms", Math.max(0, deliveryMs));
  }

  async function sendStart(
    { session, occupant, ticket, trace }: Order,
  ): Promise<void> {
    const { task, run } = occupant;
    const job = state.getJob(task.job);
    if (job === undefined) return;
    occupant.state = "starting";
    const result = await session.driver.runStart(
      occupant,
      {
        task,
        run,
        payload: job.spec.payload,
        checkpoint: state.getTask(task)?.checkpoint ?? "",
        ticket,
      },
      {
        isWanted: () => fleet.isWanted(task, run),
        findObstacle: () => findObstacle(session.runner, task),
        trace,
      },
    );
    const { runner } = session;
    if (options.isStopped() || !runner.occupants.has(occupant.key)) return;
    const tookMs = Math.round(clock.now() - occupant.plannedMs);
    const isDraining = trace.getSinceDrainingMs() !== undefined;
    recordMetrics(result, trace);
    // "Starts decided" already lists the runners of normal starts.
    const isUsual = result === "accepted" && tookMs < SLOW_START_MS &&
      !isDraining;
    logger[isUsual ? "debug" : "info"]("Start ordered", {
      run: occupant.key,
      runner: runner.life,
      result,
      tookMs,
      ...(isUsual ? {} : trace.formatFields()),
    });
    if (result === "accepted") {
      options.begunJobs.add(task.job);
      occupant.confirmedMs ??= clock.now();
      if (occupant.state === "starting") occupant.state = "running";
      if (occupant.isSuspect) startProof(session, occupant);
      if (!fleet.isWanted(task, run)) fleet.stopRun(session, occupant);
      return;
    }
    if (result === "unanswered") {
      fleet.stopRun(session, occupant);
    } else {
      fleet.release(runner, occupant);
      if (result === "unhealthy") {
        fleet.health.suspendRunner(
          runner,
          "runner reports that it is unhealthy",
        );
      }
      if (result === "ticketRefused") {
        options.eligibility.removeTicket(formatStep(task), runner.entry.id);
        options.handleTicketRefusal(job.spec.queue);
      }
      void fleet.endRuns([occupant], "lost");
    }
    const isGang = job.spec.steps[task.step]?.gang === true;
    // The other members of a gang would only wait for this one.
    if (isGang && result !== "abandoned") fleet.stopGang(task, run);
  }

  function computeRun(start: PlannedStart): number {
    const { step } = start;
    let highest = 0;
    for (const { index } of start.placements) {
      const task = state.getTask({ ...step, index });
      highest = Math.max(highest, task?.run ?? 0);
    }
    return highest + 1;
  }

  /**
   * Releases the orders that have met an obstacle since the decision, so that their tasks
   * start elsewhere; a gang is released as a whole. Returns them.
   */
  function releaseObstructed(
    orders: readonly Order[],
    isGang: boolean,
  ): Set<Order> {
    const released = new Set<Order>();
    const obstacles = new Set<StartObstacle>();

    function isObstructed({ session, occupant }: Order): boolean {
      const obstacle = findObstacle(session.runner, occupant.task);
      if (obstacle !== undefined) obstacles.add(obstacle);
      return obstacle !== undefined;
    }

    const isWholeReleased = isGang && orders.some(isObstructed);
    for (const order of orders) {
      // What was released before may leave room under a cap for the others.
      if (!isWholeReleased && !isObstructed(order)) continue;
      released.add(order);
      fleet.release(order.session.runner, order.occupant);
    }
    if (released.size === 0) return released;
    const occupants = [...released].map(({ occupant }) => occupant);
    logger.info("Starts held back", {
      obstacles: [...obstacles],
      runs: occupants.map(({ key }) => key),
    });
    void fleet.endRuns(occupants, "lost");
    return released;
  }

  async function startPlanned(start: PlannedStart): Promise<void> {
    const { step } = start;
    const { job, occurrence } = step;
    const records: WorkRecord[] = [];
    const orders: Order[] = [];
    // Members of a gang share one run number; other tasks have separate ones.
    const groups = step.spec.gang
      ? [start.placements]
      : start.placements.map((placement) => [placement]);
    for (const placements of groups) {
      const run = computeRun({ step, placements });
      for (const { index, runner, ticket } of placements) {
        const task = { job, occurrence, step: step.step, index };
        const session = fleet.getSession(runner.life);
        if (session === undefined) continue;
        const occupant = fleet.assignRun(
          runner,
          task,
          run,
          "planned",
          step.isConfined,
        );
        if (occupant === undefined) continue;
        const decidedMs = occupant.plannedMs;
        const trace = createStartTrace({ clock, runner, decidedMs });
        orders.push({ session, occupant, ticket, trace });
      }
      records.push({
        kind: "start",
        job,
        occurrence,
        step: step.step,
        run,
        entries: placements.map(({ index, runner }) => ({
          index,
          life: runner.life,
        })),
      });
    }
    openSteps.setPlanned(step, start.placements.map(({ index }) => index));
    const isRecorded = await options.record(records);
    openSteps.clearPlanned(step, start.placements.map(({ index }) => index));
    const [first] = orders;
    logger.info("Starts decided", {
      step: step.key,
      isRecorded,
      runs: orders.map(({ session, occupant: { task, run } }) =>
        `${task.index}#${run}@${session.runner.entry.id}`
      ).join(" "),
      untilDueMs: Math.round(step.dueMs - clock.wallTime()),
      tookMs: first === undefined
        ? 0
        : Math.round(clock.now() - first.occupant.plannedMs),
    });
    if (!isRecorded) {
      for (const { session, occupant } of orders) {
        fleet.release(session.runner, occupant);
      }
      return;
    }
    const heldBack = releaseObstructed(orders, step.spec.gang);
    for (const order of orders) {
      const { session, occupant, trace } = order;
      if (heldBack.has(order)) continue;
      trace.recordCommit();
      if (session.runner.isClosed) {
        void fleet.endRuns([occupant], "lost");
      } else if (!fleet.isWanted(occupant.task, occupant.run)) {
        fleet.release(session.runner, occupant);
      } else {
        void sendStart(order);
      }
    }
  }

  return { startPlanned };
}
