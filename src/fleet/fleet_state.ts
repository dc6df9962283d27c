/**
 * State machine of the fleet log: workspaces, keys, queues and data centres.
 * It implements `StateMachine` of the replicated log. It is deterministic:
 * state and answers depend on the commands alone, so they are the same on
 * every voter.
 */

import { Buffer } from "node:buffer";
import { z } from "zod";
import {
  createFault,
  type Fault,
  renderFault,
  toFault,
} from "../common/mod.ts";
import {
  answerCacheSchema,
  CACHED_ANSWER_COUNT,
  createAnswerCache,
} from "./answer_cache.ts";
import { createDraft } from "./draft.ts";
import { createFingerprintSet } from "./fingerprints.ts";
import { applyOperations } from "./operations.ts";
import { decodeCommand } from "./schema.ts";
import {
  applyDelta,
  createEmptyState,
  decodeJson,
  keyRowSchema,
  readKey,
  readState,
  stateRowsSchema,
  toKeyRow,
  toStateRows,
} from "./state_codec.ts";
import type {
  ChangeAnswer,
  FleetCommand,
  FleetStateMachine,
  FleetStateOptions,
  Key,
} from "./types.ts";

/** Number of withdrawn keys kept in full for operators. */
export const WITHDRAWN_KEY_COUNT = 1_000;
/**
 * Number of withdrawn key identifiers that are recognised. An older identifier
 * could be granted again; at 1,000 withdrawals a day, after five years.
 */
export const WITHDRAWN_FINGERPRINT_COUNT = 2_000_000;

const SNAPSHOT_FORMAT = 1;

const snapshotSchema = z.strictObject({
  format: z.literal(SNAPSHOT_FORMAT),
  state: stateRowsSchema,
  // The answer cache.
  memory: answerCacheSchema,
  withdrawnKeys: z.array(keyRowSchema),
  withdrawnFingerprints: z.string(),
});

function buildRejection(fault: Fault): ChangeAnswer {
  const body = renderFault(fault);
  const hasDetails = Object.keys(fault.details).length > 0;
  return {
    accepted: false,
    fault: hasDetails ? { ...body, details: fault.details } : body,
  };
}

/** Creates the state machine of the fleet log, at version 0. */
export function createFleetState(
  options: FleetStateOptions = {},
): FleetStateMachine {
  const memory = createAnswerCache(
    options.answerMemoryCount ?? CACHED_ANSWER_COUNT,
  );
  const withdrawn = createFingerprintSet(WITHDRAWN_FINGERPRINT_COUNT);
  let withdrawnKeys: Key[] = [];
  let state = createEmptyState();

  function applyNew({ at, change }: FleetCommand): ChangeAnswer {
    const { expectedVersion } = change;
    if (expectedVersion !== undefined && expectedVersion !== state.version) {
      return buildRejection(createFault(
        "versionConflict",
        `Cannot apply change: expectedVersion: ${expectedVersion} is not the current version ${state.version}`,
        { details: { version: state.version } },
      ));
    }
    const draft = createDraft(state, { at, isWithdrawn: withdrawn.has });
    const fault = applyOperations(draft, change.operations);
    if (fault !== undefined) return buildRejection(fault);
    const delta = draft.buildDelta();
    applyDelta(state, delta);
    for (const key of draft.withdrawnKeys.values()) {
      withdrawn.add(key.id);
      withdrawnKeys.push(key);
    }
    withdrawnKeys = withdrawnKeys.slice(-WITHDRAWN_KEY_COUNT);
    options.handleDelta?.(delta);
    return { accepted: true, version: state.version };
  }

  function apply(data: Uint8Array): ChangeAnswer {
    let command: FleetCommand;
    try {
      command = decodeCommand(data);
    } catch (error) {
      return buildRejection(toFault(error));
    }
    const retryAnswer = memory.findRetryAnswer(command.change);
    if (retryAnswer !== undefined) return retryAnswer;
    const answer = applyNew(command);
    memory.record(command.change, answer);
    return answer;
  }

  return {
    apply,
    takeSnapshot: () =>
      Buffer.from(JSON.stringify({
        format: SNAPSHOT_FORMAT,
        state: toStateRows(state),
        memory: memory.toRows(),
        withdrawnKeys: withdrawnKeys.map(toKeyRow),
        withdrawnFingerprints: withdrawn.encode(),
      })),
    restoreSnapshot(data) {
      const snapshot = decodeJson(data, snapshotSchema, "fleet snapshot");
      state = readState(snapshot.state);
      memory.restore(snapshot.memory);
      withdrawnKeys = snapshot.withdrawnKeys.map(readKey);
      withdrawn.restore(snapshot.withdrawnFingerprints);
      options.handleRestore?.(state);
    },
    getState: () => state,
    findAnswer: (changeId) => memory.find(changeId),
    getWithdrawnKeys: () => withdrawnKeys,
  };
}
