/**
 * How a process tells a first start of its group from the loss of its store.
 * An empty store is only allowed to found the group when the answers of other
 * members rule out that a former life of this member has voted for anything.
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

/** Term of the entry that holds the members of a first start. */
const FIRST_TERM = 1;

/**
 * Tells whether a store holds nothing that its member has voted for or
 * acknowledged. A store that was left in the middle of a first start counts.
 */
export function isEmptyStore(stored: StoredLog): boolean {
  const { vote, snapshot, entries } = stored;
  const hasVoted = vote !== undefined &&
    (vote.votedFor !== undefined || vote.term > FIRST_TERM);
  return !hasVoted && snapshot === undefined && entries.length === 0;
}

/** Throws "badRequest" when a member must not start with this store. */
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
        `${prefix}: the members of the first start do not list it as a voter or witness`,
      );
    }
    return;
  }
  if (isEmpty && (options.join ?? []).length === 0) {
    throw createFault(
      "badRequest",
      `${prefix}: its store is empty, which is allowed only for a first start or a new identity`,
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

/** Stores the first entry, which is the same in each member of a first start. */
export async function createBootstrapLog(
  stored: StoredLog,
  options: Pick<ReplicatedLogOptions, "self" | "members" | "storage">,
): Promise<StoredLog> {
  const vote = { member: options.self, term: FIRST_TERM };
  const members = [...(options.members ?? [])].sort((a, b) =>
    a.id < b.id ? -1 : 1
  );
  const first: LogEntry = {
    index: 1,
    term: FIRST_TERM,
    kind: "members",
    data: new Uint8Array(0),
    members,
  };
  await options.storage.saveVote(vote);
  await options.storage.append([first]);
  return { ...stored, vote, entries: [first] };
}

/** How a process starts its member. */
export interface LogStart {
  /** "restart": the store has history; "bootstrap": first start of the group; "join": new identity. */
  readonly mode: "restart" | "bootstrap" | "join";
  /** Identity to pass as `self`. */
  readonly self: string;
}

/** Options of `resolveLogStart`. */
export interface LogStartOptions {
  group: string;
  /** Name of this instance, without an incarnation. */
  instance: string;
  /** Members of a first start, as configured; their identities are instance names. */
  members: readonly LogMember[];
  storage: LogStorage;
  transport: LogTransport;
  clock: Clock;
  random: Random;
  /** Milliseconds between questions. Default 250. */
  retryMs?: number;
}

/** A start that is being decided. */
export interface LogStartResolver {
  /** Resolves with the decision; stays open while too few members answer. */
  readonly decision: Promise<LogStart>;
  /** Handles a message from another member; needed until the log itself runs. */
  receive(from: string, message: LogMessage): void;
  /** Stops asking; the decision then rejects with "cancelled". */
  stop(): void;
}

/**
 * Computes how many other voters must answer that the group has no history.
 * A member that lost its store may have been part of any quorum; the rest of
 * that quorum must include one of those that answered.
 */
export function computeBootstrapReplies(voters: number): number {
  return voters - computeQuorum(voters) + 1;
}

/** Starts to find out how this instance must start its member. */
export function resolveLogStart(options: LogStartOptions): LogStartResolver {
  const { instance, transport, clock, group } = options;
  const voters = options.members.filter(hasVote).map(({ id }) => id);
  const others = voters.filter((id) => id !== instance);
  const needed = Math.min(
    others.length,
    computeBootstrapReplies(voters.length),
  );
  const nonce = createMemberId(instance, options);
  const empty = new Set<string>();
  let isDone = false;
  let settle: (start: LogStart) => void = () => {};
  let reject: (error: unknown) => void = () => {};
  const decision = new Promise<LogStart>((resolve, rejectDecision) => {
    settle = resolve;
    reject = rejectDecision;
  });

  function resolveDecision(start: LogStart): void {
    if (isDone) return;
    isDone = true;
    timer?.cancel();
    settle(start);
  }

  function resolveJoin(): void {
    resolveDecision({ mode: "join", self: createMemberId(instance, options) });
  }

  function check(): void {
    if (empty.size >= needed) {
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
        });
      }
      if (message.kind !== "historyReply" || message.nonce !== nonce) return;
      if (message.hasHistory) return resolveJoin();
      const sender = parseMemberId(from).instance;
      if (others.includes(sender)) empty.add(sender);
      check();
    },
    stop() {
      if (isDone) return;
      isDone = true;
      timer.cancel();
      reject(createFault(
        "cancelled",
        `Cannot decide the start of log "${group}": stopped`,
        { ran: "no" },
      ));
    },
  };
}
