/** Builders shared by the tests of the request path. */

import {
  createSeededRandom,
  createSilentLogger,
  type FaultKind,
  type ManualClock,
  type Ran,
} from "../src/common/mod.ts";
import { createSlotController } from "../src/requests/slots.ts";
import type {
  SlotController,
  SlotControllerOptions,
} from "../src/requests/slots_types.ts";
import type { SlotGrant, SlotRequest } from "../src/requests/types.ts";

const SEED = 20261204;

/** Builds an expected fault in the form that `t.throws` and `t.rejects` take. */
export function buildExpectedFault(kind: FaultKind, ran?: Ran): Error {
  const wanted = ran === undefined ? { kind } : { kind, ran };
  return wanted as unknown as Error;
}

/** Creates a slot controller with a fixed seed and defaults for tests. */
export function createController(
  clock: ManualClock,
  options: Partial<SlotControllerOptions> = {},
): SlotController {
  return createSlotController({
    clock,
    random: createSeededRandom(SEED),
    logger: createSilentLogger(),
    dataCentre: "kochi",
    epoch: 1,
    getPolicy: () => ({ weight: 1, slotLimit: 1_000 }),
    ...options,
  });
}

/** Builds an idempotent request to the queue "orders". */
export function buildRequest(request: Partial<SlotRequest> = {}): SlotRequest {
  return {
    requestId: "r1",
    scope: "workspace",
    workspace: "workspace",
    queue: "orders",
    idempotent: true,
    remainingMs: 10_000,
    bodyHash: "",
    instance: "entry1",
    avoid: [],
    attempt: 0,
    ...request,
  };
}

/** Builds the announcement of an idle endpoint. */
export function buildAnnouncement(fields: Record<string, unknown> = {}) {
  return {
    endpoint: "e1",
    address: "http://127.0.0.1:9",
    dataCentre: "kochi",
    incarnation: 1,
    queues: ["orders"],
    slots: 8,
    connections: 60,
    inFlight: 0,
    departing: false,
    ...fields,
  };
}

/** Time after which a new controller grants slots, in milliseconds: past the defaults of the failover wait and the announcement delay. */
export const READY_MS = 1_600;

let nextRequest = 0;

/** Acquires a slot if one is free immediately, else cancels the request. */
export async function acquireNow(
  controller: SlotController,
  request: Partial<SlotRequest> = {},
): Promise<SlotGrant | undefined> {
  const requestId = request.requestId ?? `now${nextRequest++}`;
  const acquired = controller.acquire(buildRequest({ ...request, requestId }));
  acquired.catch(() => {});
  const grant = await Promise.race([
    acquired,
    new Promise<undefined>((resolve) => setImmediate(() => resolve(undefined))),
  ]);
  if (grant === undefined) controller.cancel(requestId);
  return grant;
}
