/**
 * Distinguishes the bootstrap of a group from the loss of a member's store. An
 * empty store may bootstrap the group only if the replies of other members rule
 * out that an earlier incarnation of this member has voted. On the first start of
 * the whole system there was no earlier incarnation; a majority that agrees on this
 * is then enough, so that the group forms without a member that is lost meanwhile.
 */

import type { Clock } from "../common/clock.ts";
import { createFault } from "../common/errors.ts";
import type { Random } from "../common/random.ts";
import { computeQuorum } from "./consensus_state.ts";
import { createMemberId, hasVote, parseMemberId } from "./member_id.ts";
import type {
  LogEntry,
  LogMember,
  LogMessage,
  LogStorage,
  LogTransport,
  ReplicatedLogOptions,
  StoredLog,
} from "./types.ts";

/** Time for all members to reply before a majority is enough, in milliseconds; a late one would have to join under a new identity. */
const MISSING_MEMBER_WAIT_MS = 2_000;

/** Term of the entry that holds the bootstrap members. */
const BOOTSTRAP_TERM = 1;

/**
 * Returns whether a store holds nothing that its member has voted for or
 * acknowledged. A store left by an interrupted bootstrap counts as empty.
 */
export function isEmptyStore(stored: StoredLog): boolean {
  const { vote, snapshot, entries } = stored;
  const hasVoted = vote !== undefined &&
    (vote.votedFor !== undefined || vote.term > BOOTSTRAP_TERM);
  return !hasVoted && snapshot === undefined && entries.length === 0;
}

/** Throws "badRequest" if a member must not start with this store. */
export function checkStoredLog(
  stored: StoredLog,
  options: Pick<
    ReplicatedLogOptions,
    "group" | "self" | "bootstrap" | "join" | "members"
  >,
): void {
  const { group, self } = options;
  const prefix = `Cannot start member "${self}" of log "${group}"`;
  const isEmpty = isEmptyStore(stored);
  if (options.bootstrap === true && !isEmpty) {
    throw createFault("badRequest", `${prefix}: its store is not empty`);
  }
  if (options.bootstrap === true) {
    const role = options.members?.find(({ id }) => id === self)?.role;
    if (role !== "voter" && role !== "witness") {
      throw createFault(
        "badRequest",
        `${prefix}: the bootstrap members do not list it as a voter or witness`,
      );
    }
    return;
  }
  if (isEmpty && (options.join ?? []).length === 0) {
    throw createFault(
      "badRequest",
      `${prefix}: its store is empty, which is allowed only for a bootstrap or a new identity`,
    );
  }
  const owner = stored.vote?.member;
  if (!isEmpty && owner !== self) {
    throw createFault(
      "badRequest",
      `${prefix}: its store belongs to member "${owner}"`,
    );
  }
}

/** Stores the first entry, which is the same on all members of a bootstrap. */
export async function createBootstrapLog(
  stored: StoredLog,
  options: Pick<ReplicatedLogOptions, "self" | "members" | "storage">,
): Promise<StoredLog> {
  const vote = { member: options.self, term: BOOTSTRAP_TERM };
  const members = [...(options.members ?? [])].sort((a, b) =>
    a.id < b.id ? -1 : 1
  );
  const first: LogEntry = {
    index: 1,
    term: BOOTSTRAP_TERM,
    kind: "members",
    data: new Uint8Array(0),
    members,
  };
  await options.storage.saveVote(vote);
  await options.storage.append([first]);
  return { ...stored, vote, entries: [first] };
}

/** Decision on how to start a member. */
export interface LogStart {
  /** "restart": the store is not empty; "bootstrap": the group is new; "join": with a new identity. */
  readonly mode: "restart" | "bootstrap" | "join";
  /** Identity to pass as `self`. */
  readonly self: string;
}

/** Options of `resolveLogStart`. */
export interface LogStartOptions {
  group: string;
  /** Name of this instance, without an incarnation. */
  instance: string;
  /** Configured bootstrap members; their identities are instance names. */
  members: readonly LogMember[];
  storage: LogStorage;
  transport: LogTransport;
  clock: Clock;
  random: Random;
  /** True if this is the first start of the whole system, so that no store can have been lost. Default false. */
  isFirstStart?: boolean | undefined;
  /** Milliseconds between history requests. Default 250. */
  retryMs?: number;
}

/** A pending start decision. */
export interface LogStartResolver {
  /** Resolves with the decision; stays pending while too few members reply. */
  readonly decision: Promise<LogStart>;
  /** Handles a message from another member; required until the log itself runs. */
  receive(from: string, message: LogMessage): void;
  /** Stops the requests; a pending decision rejects with "cancelled". */
  stop(): void;
}

/**
 * Computes how many other voters must reply that the group has no history. A
 * member that lost its store may have been part of any quorum, so every quorum
 * that includes it must include another member that replied.
 */
export function computeBootstrapReplies(voters: number): number {
  return voters - computeQuorum(voters) + 1;
}

/** Starts to determine how this instance must start its member. */
export function resolveLogStart(options: LogStartOptions): LogStartResolver {
  const { instance, transport, clock, group } = options;
  const voters = options.members.filter(hasVote).map(({ id }) => id);
  const others = voters.filter((id) => id !== instance);
  const requiredReplies = Math.min(
    others.length,
    computeBootstrapReplies(voters.length),
  );
  const nonce = createMemberId(instance, options);
  const emptyMembers = new Set<string>();
  const intactMembers = new Set<string>([instance]);
  const startMs = clock.now();
  let isDone = false;
  let fulfill: (start: LogStart) => void = () => {};
  let reject: (error: unknown) => void = () => {};
  const decision = new Promise<LogStart>((resolve, rejectDecision) => {
    fulfill = resolve;
    reject = rejectDecision;
  });

  function resolveDecision(start: LogStart): void {
    if (isDone) return;
    isDone = true;
    timer?.cancel();
    fulfill(start);
  }

  function resolveJoin(): void {
    resolveDecision({ mode: "join", self: createMemberId(instance, options) });
  }

  function hasFirstStartMajority(): boolean {
    return options.isFirstStart === true &&
      intactMembers.size >= computeQuorum(voters.length) &&
      clock.now() - startMs >= MISSING_MEMBER_WAIT_MS;
  }

  function check(): void {
    if (emptyMembers.size >= requiredReplies || hasFirstStartMajority()) {
      resolveDecision({ mode: "bootstrap", self: instance });
    }
  }

  function sendRequests(): void {
    if (isDone) return;
    for (const to of others) {
      transport.send(to, { kind: "historyRequest", to, nonce });
    }
    timer = clock.setTimer(options.retryMs ?? 250, sendRequests);
  }

  let timer = clock.setTimer(0, () => {
    options.storage.load().then((stored) => {
      const owner = stored.vote?.member;
      if (!isEmptyStore(stored) && owner !== undefined) {
        return resolveDecision({ mode: "restart", self: owner });
      }
      if (!voters.includes(instance)) return resolveJoin();
      check();
      sendRequests();
    }).catch((error) => {
      isDone = true;
      reject(error);
    });
  });

  return {
    decision,
    receive(from, message) {
      if (isDone) return;
      if (message.kind === "historyRequest") {
        return transport.send(from, {
          kind: "historyReply",
          to: from,
          nonce: message.nonce,
          hasHistory: false,
          ...(options.isFirstStart === true ? { isIntact: true } : {}),
        });
      }
      if (message.kind !== "historyReply" || message.nonce !== nonce) return;
      if (message.hasHistory) return resolveJoin();
      const sender = parseMemberId(from).instance;
      if (!others.includes(sender)) return;
      emptyMembers.add(sender);
      if (message.isIntact === true) intactMembers.add(sender);
      check();
    },
    stop() {
      if (isDone) return;
      isDone = true;
      timer.cancel();
      reject(createFault(
        "cancelled",
        `Cannot decide how to start log "${group}": stopped`,
        { ran: "no" },
      ));
    },
  };
}
