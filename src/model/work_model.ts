/**
 * Simulates a whole cell without a network: the real controller and its
 * replicated state with simulated runners and a simulated eligibility service,
 * on one manual clock. A leader change replaces the controller and keeps the
 * replicated state.
 */

import {
  type Clock,
  createFault,
  createManualClock,
  createSilentLogger,
  type Logger,
  type ManualClock,
  type Resources,
  wait,
} from "../common/mod.ts";
import { createKeptAnswers } from "../gateway/kept_answers.ts";
import type { RunnerCall } from "../gateway/messages.ts";
import {
  createRelayedCalls,
  type RelayLimits,
  runRelayedCall,
} from "../gateway/relayed_calls.ts";
import {
  type Configuration,
  createFencingTokens,
  createWorkState,
  type EligibilityAnswer,
  type EligibilityQuery,
  type EligibilityTimes,
  encodeRecords,
  hasChanges,
  type JobBody,
  type KeptReport,
  type QueueSettings,
  type RunnerCalls,
  type RunnerEntry,
  startWorkController,
  type StepSpec,
  type TaskRef,
  type WorkController,
  type WorkControllerOptions,
  type WorkRecord,
  type WorkspaceSettings,
  type WorkState,
} from "../workload/mod.ts";
import {
  createRunnerModel,
  type RunnerFaults,
  type RunnerModel,
  type TaskFacts,
} from "./runner_model.ts";

/** Wall time at the start of the model, in milliseconds; real time is not needed. */
const START_WALL_MS = 1_700_000_000_000;

/**
 * Processor time that a relayed reply costs the leader, as a share of what the call
 * costs the instance that makes it. Many share a frame; by the conventions' figures a
 * message of a stream costs a tenth of a call, and reading the reply comes on top.
 */
const RELAYED_COST_SHARE = 0.25;

/** Time for which messages to and from a relay are gathered, in milliseconds. */
const RELAY_DELAY_MS = 6;

/** Time of a request for kept answers on its way, and of the reply, in milliseconds; a batch window and a network hop. */
const RECALL_HOP_MS = 10;

/** What changes when a crashed runner comes back. */
export type RunnerReturn =
  | "sameId"
  | "newId"
  | "newAddress"
  | "newIdAndAddress";

/** Time after which a runner repeats an announcement that was not recorded, in milliseconds. */
const ANNOUNCE_PERIOD_MS = 500;

/** Options of the simulated cell. */
export interface WorkModelOptions {
  configuration: Configuration;
  /** Time until a proposed command is committed, in milliseconds. Default 12. */
  commitMs?: number;
  /** Returns the same for the records of a command. Default: `commitMs`. */
  getCommitMs?: (records: readonly WorkRecord[]) => number;
  /** Returns whether the leader holds its lease; without it, it only pauses. Default: always. */
  hasLease?: () => boolean;
  /** Returns the behaviour of a task. Default: as its step declares. */
  getTaskFacts?: (task: TaskRef, step: StepSpec) => TaskFacts;
  /** Returns whether a runner may run a step, given as `JOB/STEP`. Default: always. */
  isEligible?: (runner: string, step: string) => boolean;
  /** Instances that can query the eligibility service. Default: three. */
  callers?: readonly string[];
  /** Those callers that keep their answers for the next leader; the others never reply to it. Default: none. */
  keepers?: readonly string[];
  /** True if a ticket is valid for one incarnation of its runner only, and until it expires. Default: false. */
  bindsTickets?: boolean;
  /** True if the controller refuses jobs that cannot end in time. Default false. */
  admission?: boolean;
  /** Metrics of the controller. Default: none. */
  metrics?: WorkControllerOptions["metrics"];
  /** Returns how far the wall clock of the leader has been set, in milliseconds. Default 0. */
  getWallStepMs?: () => number;
  /** Replaces the controller's order of the open steps. */
  sortSteps?: WorkControllerOptions["sortSteps"];
  /** Replaces the controller's probation. */
  createProbation?: WorkControllerOptions["createProbation"];
  /** Id and address under which a crashed runner is back after some seconds. Default: it stays away. */
  returnAs?: RunnerReturn;
  /** Time until then, in milliseconds. Default 3,000. */
  returnMs?: number;
  /** Called after each crash. */
  handleCrash?: (entry: RunnerEntry) => void;
  /** Returns the rate of a runner's own clock. Default 1. */
  getClockRate?: (entry: RunnerEntry) => number;
  /**
   * Returns the processor time that the leader needs for a reply of a runner, in
   * milliseconds; its timers run late while it works. Default: none.
   */
  getReplyCostMs?: () => number;
  /** True if a commit also waits for the leader's process, which reads the replies of its disk and of the other members. Default: false. */
  readsCommits?: boolean;
  /** Other instances that can call runners for the leader, each with a processor like the leader's. Default: none. */
  relays?: readonly string[];
  /** Default: those of the product. */
  relayLimits?: RelayLimits;
  /** Returns whether the log refuses a command. Default: never. */
  isRefused?: (records: readonly WorkRecord[]) => boolean;
  logger?: Logger;
}

/** A simulated cell. */
export interface WorkModel {
  readonly clock: ManualClock;
  readonly runners: RunnerModel;
  readonly state: WorkState;
  /** Returns the controller of the current leader. */
  getController(): WorkController;
  /** Returns the wall time that the controller sees, in milliseconds. */
  getWallTime(): number;
  /** Returns the number of eligibility queries about a job. */
  countQueries(job: string): number;
  /** Returns the number of starts that runners have refused for their tickets. */
  countRefusedTickets(): number;
  /** Adds a runner and announces it; resolves with its faults once the announcement is recorded. */
  addRunner(
    id: string,
    entry?: Partial<RunnerEntry>,
  ): Promise<RunnerFaults>;
  /** Changes the capacity of a runner and announces it; resolves once the announcement is answered. */
  changeCapacity(id: string, capacity: Partial<Resources>): Promise<void>;
  /** Announces that a runner drains; resolves once that is acknowledged. */
  announceDraining(id: string): Promise<void>;
  /** Submits a job through a queue; resolves once it is accepted. */
  submit(id: string, body: JobBody, options?: SubmitOptions): Promise<void>;
  /** Advances the clock by some milliseconds and runs what becomes due. */
  run(ms: number): Promise<void>;
  /** Replaces the leader; only the replicated state is kept. */
  changeLeader(): void;
  /** Makes a relay stand still for some milliseconds; it then carries out what has arrived. */
  freezeRelay(relay: string, forMs: number): void;
}

/** Destination of a submitted job. */
export interface SubmitOptions {
  /** Name of the queue. Default: the first one. */
  queue?: string;
  /** API key of the workspace. Default: the first key of the first workspace. */
  key?: string;
}

/** Creates a step; fields that are not given get defaults. */
export function createStep(step: Partial<StepSpec> = {}): StepSpec {
  return {
    tasks: 1,
    resources: { processors: 1_000, memoryMb: 1_000, accelerators: 0 },
    estimatedMs: 500,
    after: [],
    checkpointing: false,
    gang: false,
    singleRack: false,
    maxPerRunner: 0,
    longRunning: false,
    fillsIdle: false,
    allowedAbsences: 0,
    targetMs: 0,
    ...step,
  };
}

/** Creates a job; fields of its steps that are not given get defaults. */
export function createJob(steps: readonly Partial<StepSpec>[]): JobBody {
  return {
    payload: "payload",
    steps: steps.map(createStep),
    firstRunMs: 0,
    intervalMs: 0,
    repetitions: 0,
  };
}

/** Creates the announced entry of a runner; fields that are not given get defaults. */
export function createRunnerEntry(
  id: string,
  entry: Partial<RunnerEntry> = {},
): RunnerEntry {
  return {
    id,
    startedMs: 1,
    address: `${id}:1`,
    pool: "pool",
    dataCentre: "one",
    capacity: { processors: 4_000, memoryMb: 16_000, accelerators: 0 },
    labels: ["kind", "rack-1"],
    isDraining: false,
    ...entry,
  };
}

/** Returns the behaviour of a task that runs as its step declares. */
export function createTaskFacts(step: StepSpec): TaskFacts {
  return {
    durationMs: step.estimatedMs,
    processors: step.resources.processors,
    memoryMb: step.resources.memoryMb,
    alwaysFails: false,
    crashesRunner: false,
    gangSize: step.gang ? step.tasks : 0,
  };
}

/** Creates a configuration with one pool; queues and workspaces default to one each. */
export function createModelConfiguration(
  options: {
    queues?: readonly Partial<QueueSettings>[];
    workspaces?: readonly Partial<WorkspaceSettings>[];
    version?: number;
  } = {},
): Configuration {
  const queues = options.queues ?? [{}];
  const workspaces = options.workspaces ?? [{}];
  return {
    version: options.version ?? 1,
    document: "{}",
    pools: [{ name: "pool", checksAdmission: false }],
    queues: queues.map((queue, at) => ({
      name: `queue-${at}`,
      host: "queue.example",
      pathPrefix: `/${queue.name ?? `queue-${at}`}/`,
      pool: "pool",
      isPublic: false,
      priority: 1,
      maxAttempts: 3,
      slowdownFactor: 2,
      targetMs: 1_000,
      timeoutMs: 3_000,
      ...queue,
    })),
    workspaces: workspaces.map((workspace, at) => ({
      name: `workspace-${at}`,
      keys: [`key-${at}`],
      weight: 100,
      cap: { processors: 0, memoryMb: 0, accelerators: 0 },
      ...workspace,
    })),
  };
}

/** Waits until all pending promise callbacks have run, also those of long chains. */
async function waitForPromises(): Promise<void> {
  await new Promise<void>((resolve) => setImmediate(resolve));
}

/** The processor of a simulated instance, which does one thing at a time. */
interface Processor {
  /** Runs a callback once all earlier work and `costMs` of its own is done. */
  run(costMs: number, callback: () => void): void;
}

function createProcessor(clock: Clock): Processor {
  let busyUntilMs = 0;
  return {
    run(costMs, callback) {
      const nowMs = clock.now();
      busyUntilMs = Math.max(busyUntilMs, nowMs) + costMs;
      if (busyUntilMs <= nowMs) callback();
      else clock.setTimer(busyUntilMs - nowMs, callback);
    },
  };
}

/** Creates a simulated cell without runners. */
export function createWorkModel(options: WorkModelOptions): WorkModel {
  const clock = createManualClock(1_000);
  const wallClock = {
    ...clock,
    wallTime: () =>
      START_WALL_MS + clock.now() + (options.getWallStepMs?.() ?? 0),
  };
  const logger = options.logger ?? createSilentLogger();
  const state = createWorkState();
  const callers = options.callers ?? ["a", "b", "c"];
  const commitMs = options.commitMs ?? 12;
  /** Sequence number of the newest announcement, by runner. */
  const sequences = new Map<string, number>();
  let newestTerm = 0;
  let refusedTickets = 0;
  const fencingTokens = createFencingTokens();
  let controller: WorkController | undefined;

  const runners = createRunnerModel({
    clock,
    getTaskFacts(task) {
      const step = state.getJob(task.job)?.spec.steps[task.step] ??
        createStep();
      return options.getTaskFacts?.(task, step) ?? createTaskFacts(step);
    },
    getQuota({ job }) {
      const owner = state.getJob(job)?.spec.workspace;
      const found = state.getConfiguration()?.workspaces
        .find(({ name }) => name === owner);
      return found && { workspace: found.name, cap: found.cap };
    },
    hasTicket(entry, { task, ticket }) {
      const isAccepted = findPolicy(task.job) === undefined ||
        isValidTicket(task, entry, ticket);
      if (!isAccepted) refusedTickets += 1;
      return isAccepted;
    },
    getMaxAttempts({ job, step }) {
      const spec = state.getJob(job)?.spec;
      const isLimited = spec?.steps[step]?.longRunning === false;
      return isLimited ? spec.maxAttempts : Infinity;
    },
    ...(options.getClockRate === undefined
      ? {}
      : { getClockRate: options.getClockRate }),
    handleCrash(entry) {
      options.handleCrash?.(entry);
      if (options.returnAs === undefined) return;
      clock.setTimer(
        options.returnMs ?? 3_000,
        () => startNextIncarnation(entry),
      );
    },
  });

  /** Returns the policy of a job's queue, which lasts as long as the job: that of the first configuration. */
  function findPolicy(job: string): EligibilityTimes | undefined {
    const name = state.getJob(job)?.spec.queue;
    return options.configuration.queues.find((queue) => queue.name === name)
      ?.eligibility;
  }

  function formatTicket(
    { job, step }: Pick<TaskRef, "job" | "step">,
    runner: string,
  ): string {
    return `${job}/${step}@${runner}`;
  }

  /** Formats a ticket that binds; the service knows the incarnations that have registered. */
  function formatBoundTicket(
    task: Pick<TaskRef, "job" | "step">,
    runner: string,
    expiresMs: number,
  ): string {
    const startedMs = state.getRunner(runner)?.startedMs;
    return `${formatTicket(task, runner)}#${startedMs}#${expiresMs}`;
  }

  function isValidTicket(
    task: TaskRef,
    { id, startedMs }: RunnerEntry,
    ticket: string,
  ): boolean {
    const expected = formatTicket(task, id);
    if (options.bindsTickets !== true) return ticket === expected;
    const [issued, incarnation, expiresMs] = ticket.split("#");
    return issued === expected && Number(incarnation) === startedMs &&
      clock.now() < Number(expiresMs);
  }

  function startNextIncarnation(former: RunnerEntry): void {
    const { returnAs } = options;
    const startedMs = former.startedMs + 1;
    const hasNewId = returnAs === "newId" || returnAs === "newIdAndAddress";
    const isMoved = returnAs === "newAddress" || returnAs === "newIdAndAddress";
    const entry = {
      ...former,
      id: hasNewId ? `${former.id}+` : former.id,
      address: isMoved ? `${former.address}+` : former.address,
      startedMs,
    };
    runners.add(entry);
    startAnnouncing(entry);
  }

  /** Announces a runner, and again if the leader is replaced meanwhile. */
  function startAnnouncing(entry: RunnerEntry): void {
    void getController().announceRunner({ entry, sequence: 1, remainingMs: 0 })
      .catch(() =>
        void clock.setTimer(ANNOUNCE_PERIOD_MS, () => startAnnouncing(entry))
      );
  }

  /** Time at which the service is free for the next query of a caller; it answers one query of each caller at a time. */
  const callerFreeMs = new Map<string, number>();
  const queryCounts = new Map<string, number>();
  const keptAnswers = new Map(
    options.keepers?.map((caller) => [caller, createKeptAnswers({ clock })]),
  );
  function ask(
    caller: string,
    question: EligibilityQuery,
  ): Promise<EligibilityAnswer> {
    const times = findPolicy(question.job);
    if (times === undefined) {
      throw createFault(
        "badRequest",
        "Cannot query eligibility for a queue without eligibility settings",
      );
    }
    queryCounts.set(question.job, (queryCounts.get(question.job) ?? 0) + 1);
    const nowMs = clock.now();
    const freeMs = Math.max(nowMs, callerFreeMs.get(caller) ?? 0) +
      times.baseMs + times.perRunnerMs * question.runners.length;
    callerFreeMs.set(caller, freeMs);
    const step = `${question.job}/${question.step}`;
    const tickets: Record<string, string> = {};
    for (const runner of question.runners) {
      if (options.isEligible?.(runner, step) ?? true) {
        tickets[runner] = options.bindsTickets === true
          ? formatBoundTicket(question, runner, freeMs + times.validMs)
          : formatTicket(question, runner);
      }
    }
    const answer = { tickets, validMs: times.validMs };
    return new Promise((resolve) =>
      void clock.setTimer(freeMs - nowMs, () => {
        keptAnswers.get(caller)?.record(question, answer);
        resolve(answer);
      })
    );
  }

  async function getReport(
    instance: string,
    timeoutMs: number,
  ): Promise<KeptReport> {
    const sentMs = clock.now();
    const kept = keptAnswers.get(instance);
    if (kept === undefined) {
      await wait(clock, timeoutMs);
      throw createFault("deadlineExceeded", `Cannot reach "${instance}"`);
    }
    await wait(clock, RECALL_HOP_MS);
    const answers = kept.list();
    await wait(clock, RECALL_HOP_MS);
    return { answers, sentMs };
  }

  const leaderProcessor = createProcessor(clock);

  const leaderClock = {
    ...wallClock,
    setTimer(delayMs: number, callback: () => void) {
      let isCancelled = false;
      const timer = clock.setTimer(delayMs, () =>
        leaderProcessor.run(0, () => {
          if (!isCancelled) callback();
        }));
      return {
        cancel() {
          isCancelled = true;
          timer.cancel();
        },
      };
    },
  };

  /** Makes each reply of a runner cost processor time of the instance that makes the call. */
  function addReplyCosts(
    processor: Processor,
    getCostMs: () => number,
  ): RunnerCalls {
    const waitForProcessor = () =>
      new Promise<void>((resolve) => processor.run(getCostMs(), resolve));
    return {
      ...runners.calls,
      start: (...order) =>
        runners.calls.start(...order).finally(waitForProcessor),
      hold: (...order) =>
        runners.calls.hold(...order).finally(waitForProcessor),
    };
  }

  /** Local time until which a relay stands still, in milliseconds. */
  const frozenUntilMs = new Map<string, number>();

  async function waitForRelay(relay: string): Promise<void> {
    await wait(clock, RELAY_DELAY_MS);
    const untilMs = frozenUntilMs.get(relay) ?? 0;
    if (untilMs > clock.now()) await wait(clock, untilMs - clock.now());
  }

  /** Creates the leader's calls, directly or through relays. */
  function createLeaderCalls(getCostMs: () => number): RunnerCalls {
    const calls = addReplyCosts(leaderProcessor, getCostMs);
    const { relays = [] } = options;
    if (relays.length === 0) return calls;
    const relayCalls = new Map(relays.map((name) => [
      name,
      addReplyCosts(createProcessor(clock), getCostMs),
    ]));

    /** Runs a call on a relay; what has arrived there waits while it stands still. */
    async function runOnRelay(
      relay: string,
      ownCalls: RunnerCalls,
      call: RunnerCall,
    ): Promise<unknown> {
      await waitForRelay(relay);
      try {
        return await runRelayedCall(ownCalls, call);
      } finally {
        await waitForRelay(relay);
        const costMs = RELAYED_COST_SHARE * getCostMs();
        await new Promise<void>((resolve) =>
          leaderProcessor.run(costMs, resolve)
        );
      }
    }

    return createRelayedCalls({
      clock: leaderClock,
      logger,
      calls,
      ...(options.relayLimits === undefined
        ? {}
        : { limits: options.relayLimits }),
      countRunners: () => state.countRunners(),
      listRelays: () => relays,
      callViaRelay: (relay, call, timeoutMs) =>
        new Promise((resolve, reject) => {
          const timer = clock.setTimer(timeoutMs, () =>
            reject(
              createFault("deadlineExceeded", `Cannot reach "${relay}"`),
            ));
          runOnRelay(relay, relayCalls.get(relay) ?? calls, call)
            .finally(() => timer.cancel())
            .then(resolve, reject);
        }),
    });
  }

  function changeLeader(): void {
    controller?.stop();
    runners.recordDisruption();
    newestTerm += 1;
    const term = newestTerm;
    controller = startWorkController({
      clock: leaderClock,
      logger,
      state,
      createFencingToken: () => fencingTokens.create(term),
      isLeading: () => term === newestTerm && (options.hasLease?.() ?? true),
      propose(records: readonly WorkRecord[]) {
        if (options.isRefused?.(records) === true) {
          return Promise.reject(
            createFault(
              "overloaded",
              "Cannot propose: the log refused the command",
            ),
          );
        }
        return new Promise((resolve, reject) => {
          const afterMs = options.getCommitMs?.(records) ?? commitMs;
          function endCommit(): void {
            if (term !== newestTerm) {
              return reject(
                createFault(
                  "outcomeUnknown",
                  "Cannot confirm the proposal: the leader was replaced",
                ),
              );
            }
            state.apply(encodeRecords(records), 0);
            resolve();
          }
          if (options.readsCommits !== true) {
            return void clock.setTimer(afterMs, endCommit);
          }
          clock.setTimer(
            afterMs / 2,
            () =>
              leaderProcessor.run(
                0,
                () =>
                  void clock.setTimer(afterMs / 2, () =>
                    leaderProcessor.run(0, endCommit)),
              ),
          );
        });
      },
      calls: options.getReplyCostMs === undefined
        ? runners.calls
        : createLeaderCalls(options.getReplyCostMs),
      ask: (caller, question) => ask(caller, question),
      ...(options.keepers === undefined ? {} : { getReport }),
      maxLeaseMs: 10_000,
      keepMs: 120_000,
      handleStaleFence: () => {},
      admission: options.admission,
      ...(options.metrics === undefined ? {} : { metrics: options.metrics }),
      ...(options.sortSteps === undefined
        ? {}
        : { sortSteps: options.sortSteps }),
      ...(options.createProbation === undefined
        ? {}
        : { createProbation: options.createProbation }),
    });
    controller.setCallers(callers);
  }

  /** Announces what has changed of a runner. */
  async function announceChange(entry: RunnerEntry): Promise<void> {
    const { id } = entry;
    const sequence = (sequences.get(id) ?? 0) + 1;
    sequences.set(id, sequence);
    // Like a log member, which answers an announcement without changes itself.
    if (!hasChanges(state, entry)) return;
    await getController().announceRunner({
      entry,
      sequence,
      remainingMs: 0,
      clockMs: runners.readClock(id),
    });
  }

  function getController(): WorkController {
    if (controller === undefined) changeLeader();
    if (controller === undefined) {
      throw createFault("internal", "Cannot find a leader");
    }
    return controller;
  }

  async function run(ms: number): Promise<void> {
    const untilMs = clock.now() + ms;
    while (clock.now() < untilMs) {
      clock.advance(1);
      await waitForPromises();
    }
  }

  state.apply(
    encodeRecords([{
      kind: "configuration",
      configuration: options.configuration,
    }]),
    0,
  );
  changeLeader();

  return {
    clock,
    runners,
    state,
    getController,
    getWallTime: () => wallClock.wallTime(),
    countQueries: (job) => queryCounts.get(job) ?? 0,
    countRefusedTickets: () => refusedTickets,
    async addRunner(id, entry = {}) {
      const full = createRunnerEntry(id, entry);
      const faults = runners.add(full);
      sequences.set(id, 1);
      const announced = getController().announceRunner({
        entry: full,
        sequence: 1,
        remainingMs: 0,
      });
      let isAnnounced = false;
      void announced.finally(() => isAnnounced = true).catch(() => {});
      await run(commitMs + 20);
      // Another command may be in flight, and the next one waits for it.
      while (!isAnnounced) await run(1);
      await announced;
      return faults;
    },
    async changeCapacity(id, capacity) {
      const entry = runners.changeCapacity(id, {
        ...createRunnerEntry(id).capacity,
        ...capacity,
      });
      await announceChange(entry);
    },
    async announceDraining(id) {
      const entry = runners.startDraining(id);
      await announceChange(entry);
      runners.recordDraining(entry);
    },
    submit(id, body, submitOptions = {}) {
      const { queues, workspaces } = options.configuration;
      const queue = queues.find(({ name }) => name === submitOptions.queue) ??
        queues[0];
      return getController().submit({
        host: queue?.host ?? "",
        path: `${queue?.pathPrefix ?? "/"}${id}`,
        key: submitOptions.key ?? workspaces[0]?.keys[0] ?? "",
      }, body);
    },
    run,
    changeLeader,
    freezeRelay(relay, forMs) {
      frozenUntilMs.set(relay, clock.now() + forMs);
      runners.recordDisruption();
    },
  };
}
