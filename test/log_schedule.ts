/**
 * Runs consensus cores under a schedule of faults and checks the invariants of
 * the log after each event. Used by the property tests and by the soak run.
 */

import { Buffer } from "node:buffer";
import fc from "fast-check";
import { createSeededRandom, type Random } from "../src/common/random.ts";
import {
  type ConsensusInput,
  stepConsensus,
} from "../src/replicated_log/consensus.ts";
import {
  type ConsensusOutput,
  type ConsensusState,
  createConsensusState,
  getLeaderLease,
  getMembers,
  getMembersAt,
  isWitnessLeader,
  type StoreRequest,
} from "../src/replicated_log/consensus_state.ts";
import { hasVote, parseMemberId } from "../src/replicated_log/member_id.ts";
import {
  MAX_CLOCK_DRIFT_RATIO,
  resolveLogTimings,
} from "../src/replicated_log/timings.ts";
import type {
  LogEntry,
  LogMember,
  LogMessage,
  LogSnapshot,
  StoredLog,
  Vote,
} from "../src/replicated_log/types.ts";

/** Simulated time of one turn of a schedule, in milliseconds. */
const TURN_MS = 5;

/** Turns from one clock tick of a member to the next. */
const TURNS_PER_TICK = 5;

/** One event in the group; `a` and `b` select members and amounts. */
export interface ScheduleAction {
  readonly kind: (typeof ACTION_KINDS)[number];
  readonly a: number;
  readonly b: number;
}

const ACTION_KINDS = [
  "wait",
  "wait",
  "propose",
  "propose",
  "propose",
  "propose",
  "crash",
  "bounce",
  "bounce",
  "restart",
  "restart",
  "restart",
  "pause",
  "resume",
  "resume",
  "isolate",
  "cutLink",
  "cutLink",
  "heal",
  "heal",
  "loseDisk",
  "snapshot",
  "handover",
  "addSpare",
  "removeSpare",
] as const;

/** A schedule: the layout of the group, the delays of network and disks, and the actions. */
export interface Schedule {
  readonly seed: number;
  readonly layout: "three" | "five" | "witness";
  /** True for a network and disks that usually have no delay. */
  readonly isZeroDelay: boolean;
  readonly actions: readonly ScheduleAction[];
}

/** Creates a fast-check arbitrary for schedules of up to `maxActions` actions. */
export function createScheduleArbitrary(
  maxActions: number,
): fc.Arbitrary<Schedule> {
  const action = fc.record({
    kind: fc.constantFrom(...ACTION_KINDS),
    a: fc.nat(999),
    b: fc.nat(999),
  });
  return fc.record({
    seed: fc.integer({ min: 0 }),
    layout: fc.constantFrom(
      "three" as const,
      "five" as const,
      "witness" as const,
    ),
    isZeroDelay: fc.boolean(),
    actions: fc.array(action, {
      minLength: 10,
      maxLength: maxActions,
      size: "max",
    }),
  });
}

interface Batch {
  requests: StoreRequest[];
  messages: LogMessage[];
  doneAtMs: number;
}

interface Node {
  readonly instance: string;
  readonly canLead: boolean;
  id: string;
  incarnation: number;
  isUp: boolean;
  isPaused: boolean;
  rate: number;
  offsetMs: number;
  /** Contents of the disk. */
  disk: {
    vote: Vote | undefined;
    snapshot: LogSnapshot | undefined;
    entries: LogEntry[];
  };
  state: ConsensusState;
  joinTargets: string[];
  writing: Batch | undefined;
  queued: Batch;
  /** Digest of all applied entries; the last one has the index `appliedIndex`. */
  digest: number;
  appliedIndex: number;
}

interface Packet {
  from: string;
  to: string;
  message: LogMessage;
  dueMs: number;
}

/** Counts of what happened in a run; tests use them to rule out trivial schedules. */
export interface ScheduleReport {
  readonly committed: number;
  readonly elections: number;
  readonly promotions: number;
  readonly snapshots: number;
  readonly messages: number;
}

const TIMINGS = resolveLogTimings({
  catchUpEntries: 3,
  maxMessageBytes: 120,
  maxInFlightBytes: 400,
});

/**
 * Zero delays and elections right after the shortest timeout reveal a lease
 * that is too long by a few milliseconds, because it overlaps the next one.
 */
const ZERO_DELAY_TIMINGS = resolveLogTimings({
  ...TIMINGS,
  electionTimeoutMaxMs: TIMINGS.electionTimeoutMinMs + 20,
});

/** Hops of a message chain that one turn delivers when there are no delays. */
const MAX_ZERO_DELAY_HOPS = 10;

const LAYOUTS = {
  three: ["voter", "voter", "voter"],
  five: ["voter", "voter", "voter", "voter", "voter"],
  witness: ["voter", "voter", "witness"],
} as const;

function createBatch(): Batch {
  return { requests: [], messages: [], doneAtMs: 0 };
}

function countVoters(state: ConsensusState): number {
  return getMembersAt(state, state.commitIndex).filter(hasVote).length;
}

function computeDigest(digest: number, entry: LogEntry): number {
  let next = Math.imul(digest ^ entry.index, 0x01000193);
  for (const byte of entry.data) next = Math.imul(next ^ byte, 0x01000193);
  return next | 0;
}

/** Runs a schedule; throws when an invariant is violated or the group does not recover. */
export function runSchedule(schedule: Schedule): ScheduleReport {
  const random: Random = createSeededRandom(schedule.seed);
  const roles = LAYOUTS[schedule.layout];
  const { isZeroDelay } = schedule;
  const timings = isZeroDelay ? ZERO_DELAY_TIMINGS : TIMINGS;
  const turnsPerTick = isZeroDelay ? 1 : TURNS_PER_TICK;
  const initialMembers: LogMember[] = roles.map((role, at) => ({
    id: `m${at}`,
    role,
  }));
  const names = [...initialMembers.map(({ id }) => id), "spare"];
  const nodes = new Map<string, Node>();
  const cutLinks = new Set<string>();
  const lostIds = new Set<string>();
  let packets: Packet[] = [];
  let nowMs = 0;
  let turn = 0;
  let nextCommand = 0;

  const leaders = new Map<number, string>();
  const committed = new Map<number, LogEntry>();
  /** Term of the member that first committed an entry, by index; only leaders of later terms must have the entry. */
  const commitTerms = new Map<number, number>();
  const digests = new Map<number, number>([[0, 0]]);
  let lastCommitted = 0;
  const counts = { elections: 0, promotions: 0, snapshots: 0, messages: 0 };

  function check(condition: boolean, message: string): void {
    if (!condition) throw new Error(`${message} (at ${nowMs} ms)`);
  }

  function toLocalMs(node: Node): number {
    return node.offsetMs + node.rate * nowMs;
  }

  function openState(node: Node): ConsensusState {
    const { vote, snapshot, entries } = node.disk;
    const stored: StoredLog = {
      ...(vote === undefined ? {} : { vote }),
      ...(snapshot === undefined ? {} : { snapshot }),
      entries: [...entries],
    };
    return createConsensusState({
      self: node.id,
      canLead: node.canLead,
      joinTargets: node.joinTargets,
      minTerm: 0,
      timings,
      random,
      stored,
      nowMs: toLocalMs(node),
    });
  }

  function startNode(node: Node): void {
    node.isUp = true;
    node.isPaused = false;
    // Half of the clocks run at the limits of the allowed range of rates.
    const at = random.nextFloat() * 4 - 2;
    node.rate = 1 + MAX_CLOCK_DRIFT_RATIO * Math.max(-1, Math.min(1, at));
    node.offsetMs = random.nextInt(100_000);
    node.writing = undefined;
    node.queued = createBatch();
    node.state = openState(node);
    node.appliedIndex = node.disk.snapshot?.index ?? 0;
    node.digest = node.disk.snapshot?.data.length === 4
      ? Buffer.from(node.disk.snapshot.data).readInt32LE(0)
      : 0;
    if (node.state.commitIndex === 1 && node.appliedIndex === 0) {
      applyEntries(node, node.disk.entries.slice(0, 1));
    }
  }

  function createNode(name: string, role: LogMember["role"] | undefined): void {
    const first: LogEntry = {
      index: 1,
      term: 1,
      kind: "members",
      data: new Uint8Array(0),
      members: initialMembers,
    };
    const isInitialMember = role !== undefined;
    const node = {
      instance: name,
      canLead: role !== "witness",
      id: name,
      incarnation: 0,
      joinTargets: isInitialMember ? [] : names,
      disk: {
        vote: { member: name, term: isInitialMember ? 1 : 0 },
        snapshot: undefined,
        entries: isInitialMember ? [first] : [],
      },
    } as unknown as Node;
    nodes.set(name, node);
    if (isInitialMember) startNode(node);
    else node.isUp = false;
  }

  function applyEntries(node: Node, entries: readonly LogEntry[]): void {
    for (const entry of entries) {
      check(
        entry.index === node.appliedIndex + 1,
        `${node.id} applies ${entry.index} after ${node.appliedIndex}`,
      );
      const known = committed.get(entry.index);
      if (known === undefined) {
        committed.set(entry.index, entry);
        commitTerms.set(entry.index, node.state.term);
        lastCommitted = Math.max(lastCommitted, entry.index);
      } else {
        check(
          known.term === entry.term &&
            Buffer.compare(known.data, entry.data) === 0,
          `${node.id} commits a different entry ${entry.index}`,
        );
      }
      node.appliedIndex = entry.index;
      node.digest = computeDigest(node.digest, entry);
      const digest = digests.get(entry.index);
      check(
        digest === undefined || digest === node.digest,
        `${node.id} has a different state at ${entry.index}`,
      );
      digests.set(entry.index, node.digest);
    }
  }

  function checkNewLeader(node: Node): void {
    const { state } = node;
    const known = leaders.get(state.term);
    check(
      known === undefined || known === node.id,
      `${node.id} and ${known} lead term ${state.term}`,
    );
    if (known !== undefined) return;
    leaders.set(state.term, node.id);
    counts.elections++;
    for (const [index, entry] of committed) {
      if ((commitTerms.get(index) ?? 0) >= state.term) continue;
      const term = state.log.getTerm(index);
      check(
        index < state.log.getBaseIndex() || term === entry.term,
        `leader ${node.id} of term ${state.term} lacks committed entry ${index}`,
      );
    }
  }

  function checkLeases(): void {
    const holders = [...nodes.values()].filter((node) =>
      node.isUp && getLeaderLease(node.state, toLocalMs(node)) !== undefined
    );
    const shown = holders.map(({ id, state }) => `${id} in ${state.term}`);
    check(holders.length <= 1, `two leases: ${shown.join(", ")}`);
  }

  /** Checks that entries with equal index and term are equal, and so are all before them. */
  function checkLogMatching(): void {
    const up = [...nodes.values()].filter((node) => node.isUp);
    for (const [at, { id, state: { log } }] of up.entries()) {
      for (const other of up.slice(at + 1)) {
        const last = Math.min(
          log.getLastIndex(),
          other.state.log.getLastIndex(),
        );
        let isBelowMatch = false;
        for (let index = last; index > 0; index--) {
          const [one, two] = [
            log.getEntry(index),
            other.state.log.getEntry(index),
          ];
          if (one === undefined || two === undefined) break;
          const isSame = one.term === two.term;
          check(
            isSame || !isBelowMatch,
            `logs of ${id} and ${other.id} differ at ${index} below a match`,
          );
          isBelowMatch ||= isSame;
          check(
            !isSame || Buffer.compare(one.data, two.data) === 0,
            `logs of ${id} and ${other.id} differ at ${index} in one term`,
          );
        }
      }
    }
  }

  function send(from: Node, message: LogMessage): void {
    counts.messages++;
    if (random.nextFloat() < 0.03) return;
    const copies = random.nextFloat() < 0.03 ? 2 : 1;
    for (let copy = 0; copy < copies; copy++) {
      const isLate = random.nextFloat() < 0.03;
      const usualMs = isZeroDelay ? 0 : 1 + random.nextInt(15);
      const delayMs = isLate ? random.nextInt(1_500) : usualMs;
      const { to } = message;
      packets.push({ from: from.id, to, message, dueMs: nowMs + delayMs });
    }
  }

  function handleOutput(node: Node, output: ConsensusOutput): void {
    for (const { message, afterStore } of output.messages) {
      if (afterStore) node.queued.messages.push(message);
      else send(node, message);
    }
    node.queued.requests.push(...output.store);
    if (output.restored !== undefined) {
      counts.snapshots++;
      node.appliedIndex = output.restored.index;
      node.digest = Buffer.from(output.restored.data).readInt32LE(0);
      check(
        node.digest === digests.get(node.appliedIndex),
        `${node.id} restored a different state at ${node.appliedIndex}`,
      );
    }
    applyEntries(node, output.committed);
  }

  function step(node: Node, input: ConsensusInput): void {
    if (!node.isUp) return;
    const before = countVoters(node.state);
    handleOutput(node, stepConsensus(node.state, input, toLocalMs(node)));
    if (countVoters(node.state) > before) counts.promotions++;
    if (node.state.role === "leader") checkNewLeader(node);
  }

  function saveRequest(node: Node, request: StoreRequest): void {
    const { disk } = node;
    if (request.kind === "vote") {
      disk.vote = request.vote;
    } else if (request.kind === "append") {
      const from = request.truncateFrom ?? Infinity;
      disk.entries = disk.entries.filter((entry) => entry.index < from);
      disk.entries.push(...request.entries);
    } else {
      const { index, term } = request.snapshot;
      const fits = disk.entries.some((entry) =>
        entry.index === index && entry.term === term
      );
      disk.entries = fits
        ? disk.entries.filter((entry) => entry.index > index)
        : [];
      disk.snapshot = request.snapshot;
    }
  }

  function stepDisk(node: Node): void {
    const { writing } = node;
    if (writing !== undefined && writing.doneAtMs <= nowMs) {
      node.writing = undefined;
      let voteChange = 0;
      const positions = [];
      for (const request of writing.requests) {
        saveRequest(node, request);
        if (request.kind === "vote") voteChange = request.change;
        const last = request.kind === "snapshot"
          ? request.snapshot
          : request.kind === "append"
          ? request.entries.at(-1)
          : undefined;
        if (last !== undefined) positions.push(last);
      }
      step(node, { kind: "stored", voteChange, positions });
      for (const message of writing.messages) send(node, message);
    }
    const { queued } = node;
    const isEmpty = queued.requests.length + queued.messages.length === 0;
    if (node.writing !== undefined || isEmpty) return;
    const isSlow = random.nextFloat() < 0.05;
    node.writing = queued;
    const usualMs = isZeroDelay ? 1 : 8;
    node.writing.doneAtMs = nowMs + random.nextInt(isSlow ? 400 : usualMs);
    node.queued = createBatch();
  }

  function isCut(from: Node, to: Node): boolean {
    return cutLinks.has(`${from.instance} ${to.instance}`);
  }

  function findNode(id: string): Node | undefined {
    return nodes.get(parseMemberId(id).instance);
  }

  function deliver(): void {
    const due = packets.filter((packet) => packet.dueMs <= nowMs);
    packets = packets.filter((packet) => packet.dueMs > nowMs);
    for (const packet of due) {
      const from = findNode(packet.from);
      const to = findNode(packet.to);
      if (from === undefined || to === undefined || !to.isUp) continue;
      if (isCut(from, to)) continue;
      // A paused process receives what has arrived when it resumes.
      if (to.isPaused) packets.push({ ...packet, dueMs: nowMs + TURN_MS });
      else {step(to, {
          kind: "message",
          from: packet.from,
          message: packet.message,
        });}
    }
  }

  function runTurn(): void {
    nowMs += TURN_MS;
    turn++;
    const isTickFirst = random.nextFloat() < 0.5;
    if (!isTickFirst) deliver();
    for (const [at, node] of [...nodes.values()].entries()) {
      if (!node.isUp || node.isPaused) continue;
      stepDisk(node);
      if ((turn + at) % turnsPerTick === 0) step(node, { kind: "tick" });
    }
    if (isTickFirst) deliver();
    for (let hop = 0; isZeroDelay && hop < MAX_ZERO_DELAY_HOPS; hop++) {
      for (const node of nodes.values()) {
        if (node.isUp && !node.isPaused) stepDisk(node);
      }
      deliver();
    }
    checkLeases();
  }

  function runFor(ms: number): void {
    for (let elapsedMs = 0; elapsedMs < ms; elapsedMs += TURN_MS) runTurn();
  }

  function stopNode(node: Node): void {
    // A crash keeps any prefix of the writes in progress.
    const requests = node.writing?.requests ?? [];
    const kept = random.nextInt(requests.length + 1);
    for (const request of requests.slice(0, kept)) saveRequest(node, request);
    node.isUp = false;
  }

  function findLeader(): Node | undefined {
    const found = [...nodes.values()].filter((node) =>
      node.isUp && !node.isPaused && node.state.role === "leader" &&
      !isWitnessLeader(node.state)
    );
    return found.sort((a, b) => b.state.term - a.state.term)[0];
  }

  /**
   * Returns whether the repair of a lost disk is still in progress. A second
   * loss during a repair may stop a group of three for good, so the schedule
   * causes none.
   */
  function hasOpenLoss(): boolean {
    return [...nodes.values()].some((node) => {
      const members = node.isUp ? getMembers(node.state) : [];
      return members.some(({ id, role }) =>
        lostIds.has(id) || role === "learner"
      ) ||
        (node.isUp && node.state.log.getLastIndex() === 0);
    });
  }

  function canLoseDisk(node: Node): boolean {
    const leader = findLeader();
    if (leader === undefined || hasOpenLoss()) return false;
    const isListed = getMembers(leader.state).some(({ id, role }) =>
      id === node.id && role !== "learner"
    );
    const allUp = [...nodes.values()].every((other) =>
      other.isUp || other.instance === "spare"
    );
    return isListed && allUp && node.instance !== "spare" &&
      leader.state.commitIndex === leader.state.log.getLastIndex();
  }

  function loseDisk(node: Node): void {
    if (!canLoseDisk(node)) return;
    stopNode(node);
    lostIds.add(node.id);
    node.incarnation++;
    node.id = `${node.instance}#${node.incarnation}`;
    node.joinTargets = names;
    const vote = { member: node.id, term: 0 };
    node.disk = { vote, snapshot: undefined, entries: [] };
    startNode(node);
  }

  function takeSnapshot(node: Node): void {
    if (!node.isUp || node.isPaused) return;
    const index = node.appliedIndex;
    const term = node.state.log.getTerm(index);
    if (term === undefined || index <= (node.state.snapshot?.index ?? 0)) {
      return;
    }
    const data = Buffer.alloc(4);
    data.writeInt32LE(node.digest);
    const members = getMembersAt(node.state, index);
    const snapshot = { index, term, members, data };
    step(node, { kind: "snapshotTaken", snapshot });
  }

  function changeSpare(isAdded: boolean): void {
    const leader = findLeader();
    const spare = nodes.get("spare");
    if (leader === undefined || spare === undefined || hasOpenLoss()) return;
    const members = getMembers(leader.state);
    const isListed = members.some(({ id }) => id === "spare");
    if (isListed === isAdded || leader === spare) return;
    if (isAdded && !spare.isUp) startNode(spare);
    step(leader, {
      kind: "changeMembers",
      members: isAdded
        ? [...members, { id: "spare", role: "learner", promoteTo: "voter" }]
        : members.filter(({ id }) => id !== "spare"),
    });
  }

  function propose(amount: number): void {
    const leader = findLeader();
    if (leader === undefined) return;
    const commands = Array.from(
      { length: 1 + amount % 5 },
      () => Buffer.from(`command ${nextCommand++}`),
    );
    step(leader, { kind: "propose", commands });
  }

  function heal(): void {
    cutLinks.clear();
  }

  function runAction({ kind, a, b }: ScheduleAction): void {
    const node = nodes.get(names[a % names.length] ?? "");
    const other = nodes.get(names[b % names.length] ?? "");
    if (node === undefined || other === undefined) return;
    const isRunning = node.isUp;
    switch (kind) {
      case "wait":
        return runFor(b * 2);
      case "propose":
        propose(a);
        return runFor(b % 40);
      case "crash":
        return isRunning ? stopNode(node) : undefined;
      case "bounce":
        if (!isRunning) return;
        stopNode(node);
        runFor(b % 100);
        return startNode(node);
      case "restart":
        if (isRunning || node.instance === "spare") return;
        return startNode(node);
      case "pause":
        node.isPaused = isRunning;
        return;
      case "resume":
        node.isPaused = false;
        return;
      case "isolate":
        for (const name of names) {
          cutLinks.add(`${name} ${node.instance}`);
          cutLinks.add(`${node.instance} ${name}`);
        }
        return;
      case "cutLink":
        cutLinks.add(`${node.instance} ${other.instance}`);
        cutLinks.add(`${other.instance} ${node.instance}`);
        return;
      case "heal":
        return heal();
      case "loseDisk":
        return loseDisk(node);
      case "snapshot":
        return takeSnapshot(node);
      case "handover": {
        const leader = findLeader();
        if (leader !== undefined) step(leader, { kind: "handover" });
        return;
      }
      case "addSpare":
        return changeSpare(true);
      case "removeSpare":
        return changeSpare(false);
    }
  }

  /** Checks that every member commits a command after the faults end. */
  function checkRecovery(): void {
    heal();
    for (const node of nodes.values()) {
      node.isPaused = false;
      if (!node.isUp && node.state !== undefined) startNode(node);
    }
    const deadlineMs = nowMs + 30_000;
    let target = Infinity;
    while (nowMs < deadlineMs) {
      runFor(500);
      const leader = findLeader();
      if (leader === undefined) continue;
      if (target === Infinity || leader.state.log.getLastIndex() < target) {
        propose(0);
        target = leader.state.log.getLastIndex();
        continue;
      }
      const members = getMembers(leader.state);
      const isSettled = members.every(({ id, role }) => {
        const node = findNode(id);
        return role !== "learner" && node?.id === id && node.isUp &&
          node.appliedIndex >= target;
      });
      if (isSettled) return;
    }
    const shown = [...nodes.values()].filter((node) => node.isUp).map(
      (node) => {
        const { id, state, appliedIndex } = node;
        return `${id} ${state.role} term ${state.term} applied ${appliedIndex} last ${state.log.getLastIndex()} members ${
          getMembers(state).map((member) => `${member.id}:${member.role}`)
        }`;
      },
    );
    check(false, `the group did not recover: ${shown.join("; ")}`);
  }

  for (const { id, role } of initialMembers) createNode(id, role);
  createNode("spare", undefined);
  runFor(1_500);
  for (const action of schedule.actions) {
    runAction(action);
    runTurn();
    checkLogMatching();
  }
  checkRecovery();
  checkLogMatching();
  return { committed: lastCommitted, ...counts };
}
