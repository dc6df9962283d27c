/**
 * Combines slots with request records, as the leader of a data centre offers
 * them to entry instances. A non-idempotent request is recorded as started
 * before its grant is returned; its response is recorded when the grant is
 * released. Such requests go to the leader of their home data centre, which also
 * grants the slot.
 */

import { createFault, type Fault, renderFault } from "../common/mod.ts";
import { GRANT_GRACE_MS } from "./constants.ts";
import type {
  RecordCommand,
  RecordDecision,
  RequestRecords,
} from "./records_types.ts";
import {
  computeMinElapsed,
  createEvacuatedFault,
  createSlotController,
} from "./slots.ts";
import type { SlotExplanation } from "./slot_explanation.ts";
import type { SlotController, SlotControllerOptions } from "./slots_types.ts";
import type { SlotClient, SlotRelease, SlotRequest } from "./types.ts";

/** Options of slots with records. */
export interface RecordedSlotsOptions
  extends Omit<SlotControllerOptions, "beforeGrant"> {
  /** The replicated records in the state applied by this instance. */
  records: RequestRecords;
  /** Replicates a command and resolves to the result of `apply`. */
  propose: (command: RecordCommand) => Promise<RecordDecision | boolean>;
}

/** The slots and records of a leader. */
export interface RecordedSlots extends SlotClient {
  readonly controller: SlotController;
  /** Explains what `acquire` would do with a request that has no record; changes nothing. */
  explain(request: SlotRequest): SlotExplanation;
  /** Makes waiting resends check their record again; call after each applied command. */
  updateWaiting(): void;
  stop(): void;
}

/** Marks the fault of `recordStart` when another run was recorded first; internal to this file. */
const DECISION_CHANGED = Symbol("decisionChanged");

function createRefusalFault(
  decision: RecordDecision & { kind: "refuse" },
): Fault {
  return createFault(decision.fault, decision.message, {
    ran: decision.ran,
    // Distinguishes an outcome recorded as unknown from a lost reply.
    details: { recorded: true },
  });
}

function createStopFault(): Fault {
  return createFault(
    "unavailable",
    "Cannot run the request: the leader has stopped granting slots",
  );
}

/** Creates slots with records for a new leader. */
export function createRecordedSlots(
  options: RecordedSlotsOptions,
): RecordedSlots {
  const { clock, records, propose } = options;
  const graceMs = options.grantGraceMs ?? GRANT_GRACE_MS;
  const controller = createSlotController({
    ...options,
    beforeGrant: recordStart,
  });
  const waiting = new Set<() => void>();
  let isStopped = false;

  /**
   * Removes the record of a start that an evacuation has overtaken, so that a
   * resend after it may run, and throws the refusal.
   */
  async function refuseRecorded(
    { scope, requestId }: SlotRequest,
    token: string,
  ): Promise<never> {
    // If this is lost, a resend is answered with "outcomeUnknown": late but safe.
    await propose({
      type: "forget",
      scope,
      requestId,
      runId: token,
      atMs: clock.wallTime(),
    }).catch(() => undefined);
    throw createEvacuatedFault(options.dataCentre);
  }

  async function recordStart(
    request: SlotRequest,
    token: string,
  ): Promise<void> {
    if (request.idempotent) return;
    const { scope, requestId, bodyHash } = request;
    const atMs = clock.wallTime();
    const decision = await propose({
      type: "start",
      scope,
      requestId,
      bodyHash,
      runId: token,
      atMs,
      endsAtMs: atMs + request.remainingMs + graceMs,
    }).catch((error: unknown) => {
      // The record may still be committed, but without a grant nothing is sent.
      throw createFault(
        "unavailable",
        `Cannot run request "${requestId}": its start could not be recorded`,
        { ran: "no", cause: error },
      );
    });
    if (typeof decision === "object" && decision.kind === "run") {
      if (options.isEvacuated?.()) await refuseRecorded(request, token);
      return;
    }
    throw createFault(
      "unavailable",
      "Cannot grant a slot: another run was recorded first",
      {
        details: { [DECISION_CHANGED]: true },
      },
    );
  }

  function isDecisionChanged(error: unknown): boolean {
    const details = (error as Partial<Fault>).details as
      | Record<symbol, unknown>
      | undefined;
    return details?.[DECISION_CHANGED] === true;
  }

  function waitForChange(maxMs: number, signal?: AbortSignal): Promise<void> {
    return new Promise((resolve) => {
      const stop = () => {
        timer.cancel();
        waiting.delete(stop);
        signal?.removeEventListener("abort", stop);
        resolve();
      };
      const timer = clock.setTimer(maxMs, stop);
      waiting.add(stop);
      signal?.addEventListener("abort", stop);
    });
  }

  function checkWait(
    request: SlotRequest,
    deadlineMs: number,
    signal?: AbortSignal,
  ): void {
    if (isStopped) throw createStopFault();
    const { requestId } = request;
    // The first run is in progress, so neither fault may report "not run".
    if (signal?.aborted === true) {
      throw createFault("cancelled", `Request "${requestId}" was cancelled`);
    }
    if (clock.now() < deadlineMs) return;
    throw createFault(
      "deadlineExceeded",
      `Cannot answer request "${requestId}": its first run is still in progress`,
    );
  }

  function getDecision(request: SlotRequest): RecordDecision {
    const { scope, requestId, bodyHash } = request;
    const nowMs = clock.wallTime();
    return records.getDecision({ scope, requestId, bodyHash, nowMs });
  }

  function explain(request: SlotRequest): SlotExplanation {
    const explanation = controller.explain(request);
    if (request.idempotent) return explanation;
    const decision = getDecision(request);
    if (decision.kind === "refuse") {
      const refusal = renderFault(createRefusalFault(decision));
      const { waitsFor: _, ...rest } = explanation;
      return { ...rest, outcome: "refused", refusal };
    }
    const unknown = [
      ...explanation.unknown,
      "The start is recorded in the log before it is granted; whether the log accepts it then is not known",
    ];
    return { ...explanation, unknown };
  }

  async function acquireRecorded(request: SlotRequest, signal?: AbortSignal) {
    const deadlineMs = clock.now() + request.remainingMs;
    const receivedAtMs = clock.now();
    for (;;) {
      const decision = getDecision(request);
      if (decision.kind === "answer") return decision;
      if (decision.kind === "refuse") throw createRefusalFault(decision);
      if (decision.kind === "wait") {
        checkWait(request, deadlineMs, signal);
        const untilEndMs = decision.endsAtMs - clock.wallTime();
        const untilDeadlineMs = deadlineMs - clock.now();
        await waitForChange(
          Math.max(1, Math.min(untilEndMs, untilDeadlineMs)),
          signal,
        );
        continue;
      }
      try {
        const waitedMs = computeMinElapsed(clock.now() - receivedAtMs);
        const remainingMs = deadlineMs - clock.now();
        const grant = await controller.acquire(
          { ...request, remainingMs },
          signal,
        );
        return { ...grant, validForMs: grant.validForMs + waitedMs };
      } catch (error) {
        if (!isDecisionChanged(error)) throw error;
      }
    }
  }

  function buildCommand(release: SlotRelease): RecordCommand | undefined {
    const record = records.findByRun(release.token);
    if (record === undefined) return undefined;
    const { scope, requestId, runId } = record;
    const base = { scope, requestId, runId, atMs: clock.wallTime() };
    if (release.outcome === "notSent") return { type: "forget", ...base };
    const { answer } = release;
    return { type: "finish", ...base, ...(answer && { answer }) };
  }

  return {
    controller,
    explain,
    acquire(request, signal) {
      return request.idempotent
        ? controller.acquire(request, signal)
        : acquireRecorded(request, signal);
    },
    async release(release) {
      const { token, outcome, durationMs } = release;
      controller.release(token, outcome, durationMs);
      // Also for a grant that has expired or was issued by a previous leader.
      const command = buildCommand(release);
      if (command !== undefined) await propose(command);
    },
    updateWaiting() {
      for (const wake of [...waiting]) wake();
    },
    stop() {
      isStopped = true;
      controller.stop();
      for (const wake of [...waiting]) wake();
    },
  };
}
