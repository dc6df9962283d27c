/**
 * Builds the explanation of a slot request from the answers of the decision code.
 * It decides nothing itself.
 */

import { type Fault, type FaultBody, renderFault } from "../common/mod.ts";
import type { EndpointChoice, EndpointObstacle } from "./endpoints_types.ts";
import type { QueueStanding, QueueTurn } from "./fair_queue_types.ts";
import type { WorkspacePolicy } from "./types.ts";

/** Number of endpoints named in each group; bounds the size of an answer. */
export const MAX_EXPLAINED_NAMES = 20;

/**
 * The turn of a request. "newLeader": nothing is granted yet; "notExamined": too
 * many requests wait before it.
 */
export type ExplainedTurn = QueueTurn | "newLeader" | "notExamined";

/** What the leader of a data centre would do with a request now, and why. */
export interface SlotExplanation {
  readonly outcome: "starts" | "waits" | "refused";
  /** Why the request would wait. */
  readonly waitsFor?: Exclude<ExplainedTurn, "next">;
  /** How the request would be refused. */
  readonly refusal?: FaultBody;
  /** Slots of the workspace in this data centre. */
  readonly limit: {
    readonly weight: number;
    /** Null without a limit. */
    readonly slots: number | null;
    readonly running: number;
    /** Requests that may be running without a grant, deducted from `slots`. */
    readonly excess: number;
    /** What is left of `slots`; null without a limit. */
    readonly left: number | null;
  };
  /** What waits now; fair queueing has no fixed order, so an estimate replaces a position. */
  readonly waiting: {
    readonly workspace: number;
    readonly workspaceLimit: number;
    readonly queue: number;
    readonly all: number;
    readonly allLimit: number;
    /** Milliseconds; null without a usable endpoint. */
    readonly estimatedWaitMs: number | null;
    /** Whether a queued request of another workspace would be rejected in favour of this one. */
    readonly displacesOther: boolean;
  };
  /** The least loaded endpoints with a free slot; one of them is picked at random. */
  readonly chosen: ExplainedEndpoints;
  readonly passedOver: readonly (ExplainedEndpoints & {
    readonly reason: EndpointObstacle;
  })[];
  /** What the leader does not know. */
  readonly unknown: readonly string[];
}

/** Endpoints in an explanation; `names` is cut off after `MAX_EXPLAINED_NAMES`. */
export interface ExplainedEndpoints {
  readonly count: number;
  readonly names: readonly string[];
}

/** Input of `buildSlotExplanation`. */
export interface SlotExplanationInput {
  readonly policy: WorkspacePolicy;
  readonly excess: number;
  readonly standing: QueueStanding;
  readonly choice: EndpointChoice;
  /** Whether endpoints may still be missing after a change of leader. */
  readonly isRebuilding: boolean;
  /** Milliseconds until a new leader accepts announcements. */
  readonly acceptsInMs: number;
  /** Absent with `refusal`. */
  readonly turn?: ExplainedTurn;
  readonly displacesOther?: boolean;
  readonly refusal?: Fault;
}

function toExplained(names: readonly string[]): ExplainedEndpoints {
  return { count: names.length, names: names.slice(0, MAX_EXPLAINED_NAMES) };
}

function toFinite(value: number): number | null {
  return Number.isFinite(value) ? value : null;
}

function listUnknown(input: SlotExplanationInput): string[] {
  const { isRebuilding, acceptsInMs, turn } = input;
  const unknown: string[] = [];
  if (isRebuilding) {
    unknown.push(
      `The leader is new: it accepts announcements in ${
        Math.ceil(acceptsInMs)
      } ms, and endpoints may be missing until they have announced themselves`,
    );
  }
  if (turn === "notExamined") {
    unknown.push(
      "So many requests wait before it that it was not examined whether a slot is left for it",
    );
  }
  if (turn === "behindOthers" || turn === "behindOwn") {
    unknown.push(
      "Another request is about to start; whether a slot is left after it is not known",
    );
  }
  return unknown;
}

function buildDecision(input: SlotExplanationInput) {
  const { refusal, turn } = input;
  if (refusal !== undefined) {
    return { outcome: "refused", refusal: renderFault(refusal) } as const;
  }
  if (turn === undefined || turn === "next") {
    return { outcome: "starts" } as const;
  }
  return { outcome: "waits", waitsFor: turn } as const;
}

/** Builds the explanation. */
export function buildSlotExplanation(
  input: SlotExplanationInput,
): SlotExplanation {
  const { policy, standing, choice } = input;
  const { slotLimit, weight } = policy;
  return {
    ...buildDecision(input),
    limit: {
      weight,
      slots: toFinite(slotLimit),
      running: standing.running,
      excess: input.excess,
      left: toFinite(Math.max(0, slotLimit - standing.running)),
    },
    waiting: {
      workspace: standing.queued,
      workspaceLimit: standing.maxQueuedPerWorkspace,
      queue: standing.queuedInQueue,
      all: standing.queuedInAll,
      allLimit: standing.maxQueued,
      estimatedWaitMs: toFinite(standing.estimatedWaitMs),
      displacesOther: input.displacesOther ?? false,
    },
    chosen: toExplained(choice.chosen),
    passedOver: [...choice.passedOver].map(([reason, names]) => ({
      reason,
      ...toExplained(names),
    })),
    unknown: listUnknown(input),
  };
}
