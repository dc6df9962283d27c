/**
 * Public interfaces of the replicated log. The members of a group replicate one
 * sequence of commands, and each applies the committed commands to its own
 * state machine. The leader of a group holds a lease during which no other
 * member can lead.
 *
 * A member identity is `instance` or `instance#incarnation` and belongs to one
 * store. A process that lost its store takes a new incarnation, because the
 * votes and acknowledgements of its former identity are unknown.
 */

import type { Clock } from "../common/clock.ts";
import type { Logger } from "../common/logger.ts";
import type { Random } from "../common/random.ts";

/**
 * Role of a member in its group. A voter votes and can lead. A witness votes
 * and stores the log but never holds a lease. A learner only receives the log.
 */
export type MemberRole = "voter" | "witness" | "learner";

/** A member of a group. */
export interface LogMember {
  /** `instance` or `instance#incarnation`. */
  readonly id: string;
  readonly role: MemberRole;
  /** Role that the leader assigns to a learner once it has caught up. */
  readonly promoteTo?: "voter" | "witness";
}

/** Kind of a log entry: a command, a member list, or the no-op at the start of a term. */
export type LogEntryKind = "command" | "members" | "noop";

/** An entry of the log. */
export interface LogEntry {
  /** Position in the log, from 1. */
  readonly index: number;
  /** Term of the leader that appended the entry. */
  readonly term: number;
  readonly kind: LogEntryKind;
  /** The command; empty for other kinds. */
  readonly data: Uint8Array;
  /** Members from this entry on; set only for kind "members". */
  readonly members?: readonly LogMember[];
}

/** Durable term and vote of a member. */
export interface Vote {
  /** Identity that owns the store. */
  readonly member: string;
  readonly term: number;
  /** Member that this member voted for in `term`. */
  readonly votedFor?: string;
}

/** Snapshot of the state up to and including `index`. */
export interface LogSnapshot {
  readonly index: number;
  /** Term of the entry at `index`. */
  readonly term: number;
  /** Members as of `index`. */
  readonly members: readonly LogMember[];
  /** Bytes from `StateMachine.takeSnapshot`. */
  readonly data: Uint8Array;
}

/** Contents of a store when it is opened. An empty store has no vote, snapshot or entries. */
export interface StoredLog {
  readonly vote?: Vote;
  readonly snapshot?: LogSnapshot;
  /** Entries after the snapshot, without gaps. */
  readonly entries: LogEntry[];
}

/**
 * Storage of a member's log. Calls are made one at a time. A promise resolves
 * once the data is durable. After a failed call every later call fails, because
 * it is unknown what reached the disk.
 */
export interface LogStorage {
  load(): Promise<StoredLog>;
  saveVote(vote: Vote): Promise<void>;
  /** Removes entries from `truncateFrom` on, then appends `entries`. */
  append(entries: LogEntry[], truncateFrom?: number): Promise<void>;
  /**
   * Replaces the snapshot. Entries up to its index may be removed. Later
   * entries are kept only if the stored entry at its index has the same term.
   */
  saveSnapshot(snapshot: LogSnapshot): Promise<void>;
  close(): Promise<void>;
}

/** State machine that the log's commands are applied to. */
export interface StateMachine {
  /** Applies a committed command. Must be deterministic and must not throw. */
  apply(command: Uint8Array, index: number): unknown;
  takeSnapshot(): Uint8Array;
  restoreSnapshot(data: Uint8Array): void;
}

/** Sends messages to other members; may lose, delay, duplicate and reorder them. */
export interface LogTransport {
  /** `to` is a member identity or an instance name; see `parseMemberId`. */
  send(to: string, message: LogMessage): void;
}

/** Requests a vote, or with `preVote` asks whether it would be granted. */
export interface VoteRequest {
  readonly kind: "voteRequest";
  readonly to: string;
  readonly term: number;
  readonly preVote: boolean;
  /** True if the former leader gave up its lease in favour of the sender. */
  readonly handover: boolean;
  /** True if the sender is a witness, which leads only to copy its log and then hands over. */
  readonly witness: boolean;
  readonly lastIndex: number;
  readonly lastTerm: number;
}

/** Reply to a vote request. */
export interface VoteReply {
  readonly kind: "voteReply";
  readonly to: string;
  readonly term: number;
  readonly preVote: boolean;
  readonly granted: boolean;
}

/** Entries from the leader; a heartbeat if there are none. */
export interface AppendRequest {
  readonly kind: "append";
  readonly to: string;
  readonly term: number;
  readonly prevIndex: number;
  readonly prevTerm: number;
  readonly entries: readonly LogEntry[];
  readonly commitIndex: number;
  /** Sequence number among the leader's messages; echoed in the reply. */
  readonly round: number;
  /** Send time on the leader's monotonic clock, in milliseconds; echoed in the reply. */
  readonly sentAtMs: number;
}

/** Reply to an append request. */
export interface AppendReply {
  readonly kind: "appendReply";
  readonly to: string;
  readonly term: number;
  /** Whether the entry at `prevIndex` matched. */
  readonly matched: boolean;
  /** Highest durable index known to match; after a mismatch, the `prevIndex` to try next. */
  readonly matchIndex: number;
  readonly round: number;
  readonly sentAtMs: number;
}

/** A chunk of a snapshot from the leader. */
export interface SnapshotChunk {
  readonly kind: "snapshot";
  readonly to: string;
  readonly term: number;
  readonly index: number;
  readonly snapshotTerm: number;
  readonly members: readonly LogMember[];
  readonly offset: number;
  readonly totalBytes: number;
  readonly data: Uint8Array;
  readonly round: number;
  readonly sentAtMs: number;
}

/** Reply to a snapshot chunk. */
export interface SnapshotReply {
  readonly kind: "snapshotReply";
  readonly to: string;
  readonly term: number;
  readonly index: number;
  /** Bytes received without a gap; offset of the next chunk. */
  readonly receivedBytes: number;
  /** True once the snapshot is durable. */
  readonly installed: boolean;
  readonly round: number;
  readonly sentAtMs: number;
}

/** Asks a member to start an election at once. The sender has given up its lease. */
export interface TimeoutNow {
  readonly kind: "timeoutNow";
  readonly to: string;
  readonly term: number;
}

/** Requests admission to the group; `to` may be an instance name. */
export interface JoinRequest {
  readonly kind: "joinRequest";
  readonly to: string;
  readonly role: "voter" | "witness";
}

/** Reply to a join request; contains the leader to ask instead. */
export interface JoinReply {
  readonly kind: "joinReply";
  readonly to: string;
  readonly leader?: string;
}

/** Asks an instance whether the group has history; `to` is an instance name. */
export interface HistoryRequest {
  readonly kind: "historyRequest";
  readonly to: string;
  /** Echoed in the reply, so that replies to an earlier incarnation do not count. */
  readonly nonce: string;
}

/** Reply to a history request. */
export interface HistoryReply {
  readonly kind: "historyReply";
  readonly to: string;
  readonly nonce: string;
  /** False only while the member's store holds no more than the bootstrap. */
  readonly hasHistory: boolean;
  /** True if the store cannot have lost anything; absent if it may have. */
  readonly isIntact?: boolean;
}

/** A message between members. */
export type LogMessage =
  | VoteRequest
  | VoteReply
  | AppendRequest
  | AppendReply
  | SnapshotChunk
  | SnapshotReply
  | TimeoutNow
  | JoinRequest
  | JoinReply
  | HistoryRequest
  | HistoryReply;

/** The exclusive right to act as leader. */
export interface LeaderLease {
  /** Leadership term; the fencing epoch of its commands. */
  readonly term: number;
  /** End of the lease on the local monotonic clock, in milliseconds. */
  readonly validUntilMs: number;
}

/** Result of a committed proposal. */
export interface ProposeResult {
  readonly index: number;
  readonly term: number;
  /** Return value of `StateMachine.apply`. */
  readonly result: unknown;
}

/** Replication lag of a member behind the leader. */
export interface MemberLag {
  /** Entries that the member is not known to have stored. */
  readonly entries: number;
  /** Milliseconds since the leader sent the latest message that the member answered. */
  readonly ageMs: number;
}

/** Status of a member. */
export interface LogStatus {
  readonly group: string;
  readonly self: string;
  /** "joining" until the group counts the member as a voter or witness; "stopped" after `stop` or a storage failure. */
  readonly role:
    | "leader"
    | "candidate"
    | "follower"
    | "joining"
    | "stopped";
  readonly term: number;
  readonly leader: string | undefined;
  readonly commitIndex: number;
  readonly appliedIndex: number;
  readonly lastIndex: number;
  readonly snapshotIndex: number;
  readonly members: readonly LogMember[];
  /** Whether the entry that holds `members` is committed. */
  readonly hasCommittedMembers: boolean;
  /** Lag by member identity; empty except on the leader. */
  readonly lag: Readonly<Record<string, MemberLag>>;
}

/** A member of a replicated log. */
export interface ReplicatedLog {
  /**
   * Appends a command and resolves once it is committed and applied by this
   * member. Rejects with fault "notLeader", "overloaded" or "tooLarge" if the
   * command was not appended, and with "outcomeUnknown" if it may have been.
   */
  propose(command: Uint8Array): Promise<ProposeResult>;
  /**
   * Resolves once a quorum has confirmed the leadership after the call and all
   * entries committed before the call are applied. Rejects with "notLeader".
   */
  confirmLeadership(): Promise<void>;
  /** Returns the lease, or undefined if this member does not lead or its lease has expired. */
  getLease(): LeaderLease | undefined;
  /** Handles a message from member `from`. Never throws. */
  receive(from: string, message: LogMessage): void;
  /**
   * Adds a member. A voter or witness is added as a learner and promoted once
   * it has caught up; the promise resolves after the promotion. Rejects with
   * "notLeader", "badRequest", "versionConflict" (another change is in
   * progress) or "outcomeUnknown" (leadership ended first).
   */
  addMember(member: LogMember): Promise<void>;
  /** Removes a member. Rejects like `addMember`, or with "notFound". */
  removeMember(id: string): Promise<void>;
  /**
   * Hands over leadership to the most complete responsive voter. Resolves once
   * another member leads, after `handoverTimeoutMs`, or at once if this member
   * does not lead. Never rejects.
   */
  releaseLeadership(): Promise<void>;
  getStatus(): LogStatus;
  /** Hands over leadership if possible, then syncs and closes the store. */
  stop(): Promise<void>;
}

/** Timings and size limits of a replicated log. */
export interface LogTimings {
  /** Heartbeat interval in milliseconds. */
  readonly heartbeatMs: number;
  /**
   * Shortest election timeout in milliseconds. A member that answered a leader
   * refuses other candidates for this long, which makes the lease exclusive.
   */
  readonly electionTimeoutMinMs: number;
  /** Longest election timeout in milliseconds. */
  readonly electionTimeoutMaxMs: number;
  /** Log size in bytes after which a snapshot is taken. */
  readonly snapshotLogBytes: number;
  /** Entries kept in memory before a snapshot, for members that lag only slightly. */
  readonly catchUpEntries: number;
  /** Limit of entries or snapshot data per message, in bytes; a larger single entry is still sent. */
  readonly maxMessageBytes: number;
  /** Unacknowledged bytes per member after which no more entries are sent. */
  readonly maxInFlightBytes: number;
  /** Limit of one command, in bytes. */
  readonly maxCommandBytes: number;
  /** Limit of all uncommitted proposals, in bytes. */
  readonly maxPendingBytes: number;
  /** Milliseconds that `stop` waits for a handover. */
  readonly handoverTimeoutMs: number;
}

/** Options of `createReplicatedLog`. */
export interface ReplicatedLogOptions {
  /** Name of the group, for log lines and error messages. */
  group: string;
  /** Identity of this member. */
  self: string;
  /** Initial members; used only with `bootstrap`. */
  members?: readonly LogMember[];
  /**
   * True only if `resolveLogStart` has decided to bootstrap the group. An empty
   * store is refused unless this or `join` is set.
   */
  bootstrap?: boolean;
  /** Instances to ask for admission while the group does not list this member. */
  join?: readonly string[];
  /** False for a witness. Default true. */
  canLead?: boolean;
  /**
   * Lowest term of an election started by this member. A group without disks
   * passes a number that grows between bootstraps, such as wall time in seconds,
   * so that the epochs of a new group exceed those of a lost one.
   */
  minTerm?: number;
  storage: LogStorage;
  transport: LogTransport;
  clock: Clock;
  random: Random;
  stateMachine: StateMachine;
  timings?: Partial<LogTimings>;
  /**
   * Called when a lease starts and when it ends, not on renewal. The call at
   * the end can be late, for example after a process pause. Code that depends on
   * the lease must check `getLease` right before it acts.
   */
  onLeadership?: (lease: LeaderLease | undefined) => void;
  /** Called once after a failure, for example of the store, has stopped the member. */
  onFailure?: (error: unknown) => void;
  logger?: Logger;
}
