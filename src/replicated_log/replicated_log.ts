/**
 * The driver of one log member: passes time, messages, proposals and completed
 * writes to the consensus core, and carries out the actions it requests.
 */

import { createFault, type Fault } from "../common/errors.ts";
import { createSilentLogger } from "../common/logger.ts";
import { type ConsensusInput, stepConsensus } from "./consensus.ts";
import {
  computeQuorumValue,
  type ConsensusOutput,
  type ConsensusState,
  createConsensusState,
  getLeaderLease,
  getMembers,
  getMembersAt,
  isWitnessLeader,
} from "./consensus_state.ts";
import { estimateEntryBytes } from "./entry_log.ts";
import { findMember, hasVote } from "./member_id.ts";
import { checkStoredLog, createBootstrapLog } from "./start.ts";
import { createStoreQueue } from "./store_queue.ts";
import { resolveLogTimings } from "./timings.ts";
import { startTickTimer } from "./tick_timer.ts";
import type {
  LeaderLease,
  LogEntry,
  LogMember,
  LogSnapshot,
  LogStatus,
  MemberLag,
  ProposeResult,
  ReplicatedLog,
  ReplicatedLogOptions,
  StoredLog,
} from "./types.ts";

interface Proposal {
  readonly command: Uint8Array;
  readonly resolve: (result: ProposeResult) => void;
  readonly reject: (error: Fault) => void;
}

interface PendingProposal extends Proposal {
  readonly term: number;
}

/** A condition that is checked after each step until it holds or the leadership ends. */
interface Watch {
  readonly term: number;
  readonly isDone: () => boolean;
  readonly resolve: () => void;
  readonly reject: (error: Fault) => void;
  /** Kind of the fault if the leadership ends first. */
  readonly faultKindOnLoss: "notLeader" | "outcomeUnknown";
}

/** Opens the store and starts a member. Rejects with "badRequest" if it must not start with this store. */
export async function createReplicatedLog(
  options: ReplicatedLogOptions,
): Promise<ReplicatedLog> {
  const timings = resolveLogTimings(options.timings);
  const loaded = await options.storage.load();
  checkStoredLog(loaded, options);
  const stored = options.bootstrap === true
    ? await createBootstrapLog(loaded, options)
    : loaded;
  const state = createConsensusState({
    self: options.self,
    canLead: options.canLead ?? true,
    joinTargets: options.join ?? [],
    minTerm: options.minTerm ?? 0,
    timings,
    random: options.random,
    stored,
    nowMs: options.clock.now(),
  });
  return startDriver(options, { state, stored });
}

function startDriver(
  options: ReplicatedLogOptions,
  start: { state: ConsensusState; stored: StoredLog },
): ReplicatedLog {
  const { clock, stateMachine, transport, storage, group, self } = options;
  const { state, stored } = start;
  const { timings } = state;
  const logger = (options.logger ?? createSilentLogger()).with({ group, self });

  const inputs: ConsensusInput[] = [];
  let isStepping = false;
  let isStopped = false;
  let stopping: Promise<void> | undefined;

  let proposals: Proposal[] = [];
  const pending = new Map<number, PendingProposal>();
  let pendingBytes = 0;
  let watches: Watch[] = [];
  let isFlushScheduled = false;
  let needsConfirmation = false;

  let appliedIndex = state.commitIndex;
  let logBytes = stored.entries.reduce(
    (sum, entry) => sum + estimateEntryBytes(entry),
    0,
  );
  let reportedLease: LeaderLease | undefined;
  let leadingTerm: number | undefined;

  if (stored.snapshot !== undefined) {
    stateMachine.restoreSnapshot(stored.snapshot.data);
  }

  const queue = createStoreQueue({
    storage,
    send: (message) => {
      if (!isStopped) transport.send(message.to, message);
    },
    onStored: (batch) => step({ kind: "stored", ...batch }),
    onFailure: (error) => stopOnFailure(error),
  });

  function createNotLeaderFault(): Fault {
    const leader = state.role === "leader" ? undefined : state.leader;
    return createFault(
      "notLeader",
      `Cannot use member "${self}" of log "${group}": it is not the leader`,
      { details: { leader } },
    );
  }

  function createOutcomeUnknownFault(): Fault {
    return createFault(
      "outcomeUnknown",
      `Cannot determine the outcome of a proposal to log "${group}": leadership of term ${leadingTerm} ended first`,
    );
  }

  function removePending(index: number): PendingProposal | undefined {
    const found = pending.get(index);
    if (found === undefined) return undefined;
    pending.delete(index);
    pendingBytes -= found.command.length;
    return found;
  }

  function applyEntry(entry: LogEntry): void {
    const result = entry.kind === "command"
      ? stateMachine.apply(entry.data, entry.index)
      : undefined;
    appliedIndex = entry.index;
    const { index, term } = entry;
    const proposal = removePending(index);
    if (proposal === undefined) return;
    if (proposal.term === term) proposal.resolve({ index, term, result });
    // Another entry was committed at this index, so the proposal never will be.
    else proposal.reject(createNotLeaderFault());
  }

  function restoreSnapshot(snapshot: LogSnapshot): void {
    stateMachine.restoreSnapshot(snapshot.data);
    appliedIndex = snapshot.index;
    logBytes = 0;
    logger.info("Installed a snapshot", { index: snapshot.index });
  }

  function handleOutput(output: ConsensusOutput): void {
    const waiting = [];
    for (const { to, message, afterStore } of output.messages) {
      if (afterStore) waiting.push(message);
      else transport.send(to, message);
    }
    queue.add(output.store, waiting);
    for (const request of output.store) {
      if (request.kind !== "append") continue;
      for (const entry of request.entries) {
        logBytes += estimateEntryBytes(entry);
      }
    }
    if (output.restored !== undefined) restoreSnapshot(output.restored);
    for (const entry of output.committed) applyEntry(entry);
  }

  function stepOnce(input: ConsensusInput): ConsensusOutput {
    const output = stepConsensus(state, input, clock.now());
    handleOutput(output);
    return output;
  }

  /** Runs `work`, then handles the inputs that have arrived meanwhile. */
  function runStep<T>(work: () => T): T | undefined {
    if (isStopped) return undefined;
    isStepping = true;
    let result: T | undefined;
    try {
      result = work();
      for (
        let input = inputs.shift();
        input !== undefined && !isStopped;
        input = inputs.shift()
      ) {
        stepOnce(input);
      }
      takeSnapshotIfDue();
      checkLeadership();
      checkWatches();
    } catch (error) {
      stopOnFailure(error);
    }
    isStepping = false;
    return result;
  }

  function step(input: ConsensusInput): void {
    if (isStopped) return;
    inputs.push(input);
    if (!isStepping) runStep(() => undefined);
  }

  function takeSnapshotIfDue(): void {
    const lastBytes = state.snapshot?.data.length ?? 0;
    // The cost of a snapshot grows with its size, so large ones are taken less often.
    if (logBytes < Math.max(timings.snapshotLogBytes, lastBytes)) return;
    const index = appliedIndex;
    const term = state.log.getTerm(index);
    if (term === undefined || index <= (state.snapshot?.index ?? 0)) return;
    logBytes = 0;
    const members = getMembersAt(state, index);
    const data = stateMachine.takeSnapshot();
    stepOnce({
      kind: "snapshotTaken",
      snapshot: { index, term, members, data },
    });
    logger.info("Took a snapshot", { index, bytes: data.length });
  }

  function rejectAllPending(): void {
    const lost = [...pending.values()];
    pending.clear();
    pendingBytes = proposals.reduce(
      (sum, { command }) => sum + command.length,
      0,
    );
    for (const { reject } of lost) reject(createOutcomeUnknownFault());
  }

  function checkLeadership(): void {
    const isActiveLeader = state.role === "leader" && !isWitnessLeader(state) &&
      !isStopped;
    if (
      leadingTerm !== undefined &&
      (!isActiveLeader || leadingTerm !== state.term)
    ) {
      rejectAllPending();
      logger.info("Leadership ended", { term: leadingTerm });
      leadingTerm = undefined;
    }
    if (isActiveLeader && leadingTerm === undefined) {
      leadingTerm = state.term;
      logger.info("Leadership started", { term: leadingTerm });
    }
    const lease = getLease();
    const isSameTerm = lease?.term === reportedLease?.term;
    reportedLease = lease;
    if (!isSameTerm) options.onLeadership?.(lease);
  }

  function checkWatches(): void {
    const open: Watch[] = [];
    const current = watches;
    watches = open;
    for (const watch of current) {
      if (watch.isDone()) watch.resolve();
      else if (leadingTerm === watch.term) open.push(watch);
      else {
        watch.reject(
          watch.faultKindOnLoss === "notLeader"
            ? createNotLeaderFault()
            : createOutcomeUnknownFault(),
        );
      }
    }
  }

  function addWatch(
    faultKindOnLoss: Watch["faultKindOnLoss"],
    isDone: () => boolean,
  ): Promise<void> {
    const term = state.term;
    return new Promise((resolve, reject) => {
      watches.push({ term, isDone, resolve, reject, faultKindOnLoss });
    });
  }

  function getLease(): LeaderLease | undefined {
    if (isStopped) return undefined;
    return getLeaderLease(state, clock.now());
  }

  function closeDriver(): void {
    isStopped = true;
    timer.cancel();
    inputs.length = 0;
    const refused = proposals;
    proposals = [];
    for (const { reject } of refused) reject(createNotLeaderFault());
    checkLeadership();
    checkWatches();
  }

  function stopOnFailure(error: unknown): void {
    if (isStopped) return;
    logger.error("Log member stopped after a failure", { error });
    closeDriver();
    options.onFailure?.(error);
  }

  /** Passes the proposals and confirmations since the last flush to the core, as one batch each. */
  function runFlush(): void {
    isFlushScheduled = false;
    if (isStepping) return planFlush();
    runStep(() => {
      stepProposals();
      if (needsConfirmation) stepOnce({ kind: "confirm" });
      needsConfirmation = false;
    });
  }

  function stepProposals(): void {
    if (proposals.length === 0) return;
    const batch = proposals;
    proposals = [];
    const commands = batch.map(({ command }) => command);
    const { term } = state;
    const output = stepConsensus(
      state,
      { kind: "propose", commands },
      clock.now(),
    );
    const first = output.acceptedIndex;
    for (const [offset, proposal] of batch.entries()) {
      if (first !== undefined) {
        pending.set(first + offset, { ...proposal, term });
        continue;
      }
      pendingBytes -= proposal.command.length;
      proposal.reject(createNotLeaderFault());
    }
    handleOutput(output);
  }

  function planFlush(): void {
    if (isFlushScheduled) return;
    isFlushScheduled = true;
    queueMicrotask(runFlush);
  }

  function propose(command: Uint8Array): Promise<ProposeResult> {
    const { maxCommandBytes, maxPendingBytes } = timings;
    if (command.length > maxCommandBytes) {
      return Promise.reject(createFault(
        "tooLarge",
        `Cannot append a command of ${command.length} bytes: the limit is ${maxCommandBytes}`,
      ));
    }
    if (isStopped || state.role !== "leader" || isWitnessLeader(state)) {
      return Promise.reject(createNotLeaderFault());
    }
    if (pendingBytes + command.length > maxPendingBytes) {
      return Promise.reject(createFault(
        "overloaded",
        `Cannot append a command: ${pendingBytes} bytes of proposals are pending`,
      ));
    }
    pendingBytes += command.length;
    return new Promise((resolve, reject) => {
      proposals.push({ command, resolve, reject });
      planFlush();
    });
  }

  async function confirmLeadership(): Promise<void> {
    if (isStopped || state.role !== "leader" || isWitnessLeader(state)) {
      throw createNotLeaderFault();
    }
    const round = state.round + 1;
    const index = Math.max(state.commitIndex, state.termStartIndex);
    const confirmed = addWatch("notLeader", () => {
      const answered = computeQuorumValue(state, {
        self: Infinity,
        other: (progress) => progress.ackedRound,
      });
      return state.role === "leader" && answered >= round &&
        appliedIndex >= index;
    });
    needsConfirmation = true;
    planFlush();
    return await confirmed;
  }

  /** Appends a member list and waits until `isDone` holds for its index. */
  function updateMembers(
    members: readonly LogMember[],
    isDone: (index: number) => boolean,
  ): Promise<void> {
    if (isStepping) {
      return Promise.resolve().then(() => updateMembers(members, isDone));
    }
    let output: ConsensusOutput | undefined;
    let done: Promise<void> | undefined;
    runStep(() => {
      output = stepOnce({ kind: "changeMembers", members });
      const index = output.acceptedIndex;
      if (index === undefined) return;
      done = addWatch("outcomeUnknown", () => isDone(index));
    });
    if (done !== undefined) return done;
    if (output?.refusal === "changeInProgress") {
      return Promise.reject(createFault(
        "versionConflict",
        `Cannot change the members of log "${group}": another change is not committed yet`,
      ));
    }
    if (output?.refusal === "badRequest") {
      return Promise.reject(createFault(
        "badRequest",
        `Cannot change the members of log "${group}": more than one voter would change, or no voter would remain`,
      ));
    }
    return Promise.reject(createNotLeaderFault());
  }

  async function addMember(member: LogMember): Promise<void> {
    if (isStopped || state.role !== "leader") throw createNotLeaderFault();
    const { id, role } = member;
    if (findMember(getMembers(state), id) !== undefined) {
      throw createFault(
        "badRequest",
        `Cannot add member "${id}" to log "${group}": it is already a member`,
      );
    }
    const learner: LogMember = role === "learner"
      ? member
      : { id, role: "learner", promoteTo: role };
    await updateMembers([...getMembers(state), learner], (index) => {
      const found = findMember(getMembersAt(state, state.commitIndex), id);
      if (state.commitIndex < index || found === undefined) return false;
      return role === "learner" || hasVote(found);
    });
  }

  async function removeMember(id: string): Promise<void> {
    if (isStopped || state.role !== "leader") throw createNotLeaderFault();
    const members = getMembers(state);
    if (findMember(members, id) === undefined) {
      throw createFault(
        "notFound",
        `Cannot remove member "${id}" from log "${group}": it is not a member`,
      );
    }
    await updateMembers(
      members.filter((member) => member.id !== id),
      (index) => state.commitIndex >= index,
    );
  }

  function getRole(): LogStatus["role"] {
    if (isStopped) return "stopped";
    const listed = findMember(getMembers(state), self);
    const isLearner = listed?.role === "learner" &&
      listed.promoteTo !== undefined;
    if (listed === undefined || isLearner) return "joining";
    if (state.role === "preCandidate" || isWitnessLeader(state)) {
      return "candidate";
    }
    return state.role;
  }

  function computeLag(): Record<string, MemberLag> {
    const lag: Record<string, MemberLag> = {};
    for (const [id, progress] of state.progress) {
      lag[id] = {
        entries: state.log.getLastIndex() - progress.matchIndex,
        ageMs: clock.now() - progress.ackSentMs,
      };
    }
    return lag;
  }

  function getStatus(): LogStatus {
    return {
      group,
      self,
      role: getRole(),
      term: state.term,
      leader: isStopped ? undefined : state.leader,
      commitIndex: state.commitIndex,
      appliedIndex,
      lastIndex: state.log.getLastIndex(),
      snapshotIndex: state.snapshot?.index ?? 0,
      members: getMembers(state),
      hasCommittedMembers:
        state.commitIndex >= (state.memberLists.at(-1)?.index ?? 0),
      lag: isStopped ? {} : computeLag(),
    };
  }

  /** Hands over leadership. Waits until another member leads, which may need this member's vote. */
  async function releaseLeadership(): Promise<void> {
    if (state.role !== "leader" || state.progress.size === 0) return;
    step({ kind: "handover" });
    const deadlineMs = clock.now() + timings.handoverTimeoutMs;
    const hasSuccessor = () =>
      state.role !== "leader" && state.leader !== undefined;
    while (!isStopped && !hasSuccessor() && clock.now() < deadlineMs) {
      await new Promise<void>((resolve) => {
        clock.setTimer(timings.heartbeatMs / 4, resolve);
      });
    }
  }

  async function runStop(): Promise<void> {
    // The clock's timers do not keep the process alive. Without this interval, a
    // process whose listeners are closed would exit during the handover.
    const keepAlive = setInterval(() => {}, timings.heartbeatMs);
    try {
      await releaseLeadership();
      if (!isStopped) closeDriver();
      await queue.waitUntilIdle();
      await storage.close();
    } finally {
      clearInterval(keepAlive);
    }
  }

  /**
   * Computes the time to the next tick. An election starts exactly at its
   * deadline: members with aligned ticks would campaign together and split the
   * votes.
   */
  function computeTickMs(): number {
    const tickMs = timings.heartbeatMs / 2;
    if (state.role === "leader") return tickMs;
    const untilElectionMs = state.electionDeadlineMs - clock.now();
    return Math.max(1, Math.min(tickMs, untilElectionMs));
  }

  const timer = startTickTimer({
    clock,
    getDelayMs: computeTickMs,
    canDefer: () => state.role !== "leader",
    runTick: () => step({ kind: "tick" }),
  });

  return {
    propose,
    confirmLeadership,
    getLease,
    receive: (from, message) => step({ kind: "message", from, message }),
    addMember,
    removeMember,
    releaseLeadership,
    getStatus,
    stop() {
      stopping ??= runStop();
      return stopping;
    },
  };
}
