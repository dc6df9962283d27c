/**
 * The slot controller of the data centre leader combines the fair queue and the
 * endpoint table. A request may be sent to an endpoint only with a grant. The
 * leader's epoch is the fencing token of a grant, and a new leader waits until
 * the grants of its predecessor have expired.
 */

import { createFault, type Fault, toFault } from "../common/mod.ts";
import {
  ANNOUNCEMENT_DELAY_MS,
  CLOCK_RATE_ERROR,
  GRANT_GRACE_MS,
  GRANT_VALID_MS,
} from "./constants.ts";
import { createEndpointTable } from "./endpoints.ts";
import type { EndpointGrant } from "./endpoints_types.ts";
import { createExpiryQueue, type ExpiryEntry } from "./expiry_queue.ts";
import { createFairQueue } from "./fair_queue.ts";
import type {
  AddOptions,
  QueueEntry,
  QueueItem,
  QueuePool,
  WorkspaceQueueStatus,
} from "./fair_queue_types.ts";
import {
  buildSlotExplanation,
  type ExplainedTurn,
  type SlotExplanation,
} from "./slot_explanation.ts";
import type { SlotController, SlotControllerOptions } from "./slots_types.ts";
import type {
  RequestOutcome,
  SlotGrant,
  SlotRequest,
  WorkspacePolicy,
} from "./types.ts";

interface Waiter {
  readonly request: SlotRequest;
  readonly receivedAtMs: number;
  readonly deadlineMs: number;
  readonly resolve: (grant: SlotGrant) => void;
  readonly reject: (fault: Fault) => void;
  entry: QueueEntry<Waiter> | undefined;
}

interface GrantState {
  readonly token: string;
  readonly waiter: Waiter;
  readonly entry: QueueEntry<Waiter>;
  readonly endpointGrant: EndpointGrant;
  readonly grantedAtMs: number;
  expiry: ExpiryEntry<GrantState> | undefined;
}

function createUnservedFault(queue: string): Fault {
  return createFault(
    "unavailable",
    `Cannot grant a slot: no endpoint serves queue "${queue}"`,
  );
}

/** Creates the refusal of an evacuated data centre, after which another one is tried. */
export function createEvacuatedFault(dataCentre: string): Fault {
  return createFault(
    "unavailable",
    `Cannot grant a slot: data centre "${dataCentre}" is evacuated`,
    { ran: "no" },
  );
}

/**
 * Maximum time in the queue. The entry instance measures this time on its own
 * clock; after 25 s, clock drift uses up half of the validity of a grant.
 */
const MAX_QUEUED_MS = GRANT_VALID_MS / (2 * CLOCK_RATE_ERROR) / 2;

/**
 * Waiting requests that an explanation compares with the endpoints. Without a
 * limit, 900 waiting workspaces make it as slow as a decision, some 50 ms.
 */
const MAX_EXAMINED_REQUESTS = 200;

/** Returns the minimum time elapsed on another clock, given `waitedMs` on this clock. */
export function computeMinElapsed(waitedMs: number): number {
  return waitedMs * (1 - 2 * CLOCK_RATE_ERROR);
}

/** Creates the slot controller of a new leader. */
export function createSlotController(
  options: SlotControllerOptions,
): SlotController {
  const { clock, random, logger, epoch, beforeGrant } = options;
  const canGrant = options.canGrant ?? (() => true);
  const isEvacuated = options.isEvacuated ?? (() => false);
  const grantValidMs = options.grantValidMs ?? GRANT_VALID_MS;
  const grantGraceMs = options.grantGraceMs ?? GRANT_GRACE_MS;
  const readyAtMs = clock.now() + (options.failoverWaitMs ??
    grantValidMs * (1 + 2 * CLOCK_RATE_ERROR));
  const announcementDelayMs = options.endpoints?.announcementDelayMs ??
    ANNOUNCEMENT_DELAY_MS;
  const announcePeriodMs = options.endpoints?.announcePeriodMs ?? 1_000;
  const acceptFromMs = readyAtMs + announcementDelayMs;
  const rebuiltAtMs = acceptFromMs + 2 * announcePeriodMs;
  const endpoints = createEndpointTable({
    ...options.endpoints,
    clock,
    random,
    dataCentre: options.dataCentre,
    acceptFromMs,
    grantValidMs,
  });

  /** Counts the requests of a workspace that may be running without an open grant. */
  function countExcess(workspace: string): number {
    const { byWorkspace, shared } = endpoints.getWorkspaceExcess();
    return shared + (byWorkspace.get(workspace) ?? 0);
  }

  function getPolicy(workspace: string): WorkspacePolicy {
    const { weight, slotLimit } = options.getPolicy(workspace);
    return {
      weight,
      slotLimit: Math.max(0, slotLimit - countExcess(workspace)),
    };
  }

  function listWorkspaces(): WorkspaceQueueStatus[] {
    const queued = queue.listWorkspaces();
    const known = new Set(queued.map(({ workspace }) => workspace));
    const { byWorkspace } = endpoints.getWorkspaceExcess();
    const others = [...byWorkspace.keys()].filter((workspace) =>
      !known.has(workspace)
    )
      .map((workspace) => ({ workspace, queued: 0, running: 0 }));
    return [...queued, ...others].map((status) => ({
      ...status,
      running: status.running + countExcess(status.workspace),
    }));
  }

  const queue = createFairQueue<Waiter>({
    ...options.queue,
    clock,
    getPolicy,
    getPool: endpoints.getPool,
    onReject: handleRejection,
  });
  const waiters = new Map<string, Set<Waiter>>();
  const grants = new Map<string, GrantState>();
  const expiries = createExpiryQueue<GrantState>({
    clock,
    onExpire: handleExpiry,
  });
  let nextToken = 0;
  let isStopped = false;

  function removeWaiter(waiter: Waiter): void {
    const { requestId } = waiter.request;
    const siblings = waiters.get(requestId);
    siblings?.delete(waiter);
    if (siblings?.size === 0) waiters.delete(requestId);
  }

  function handleRejection(waiter: Waiter, fault: Fault): void {
    removeWaiter(waiter);
    waiter.reject(fault);
  }

  function isReady(): boolean {
    return !isStopped && clock.now() >= readyAtMs && canGrant() &&
      !isEvacuated();
  }

  function closeGrant(
    grant: GrantState,
    outcome: RequestOutcome | "expired",
    durationMs: number,
  ): void {
    grants.delete(grant.token);
    if (grant.expiry !== undefined) expiries.remove(grant.expiry);
    endpoints.closeGrant(grant.endpointGrant, { outcome, durationMs });
    const heldMs = outcome === "notSent" ? 0 : clock.now() - grant.grantedAtMs;
    queue.release(grant.entry, heldMs);
    grantWaiting();
  }

  function handleExpiry(grant: GrantState): void {
    logger.warn("Grant expired without release", {
      requestId: grant.waiter.request.requestId,
      endpoint: grant.endpointGrant.endpoint,
      instance: grant.waiter.request.instance,
    });
    closeGrant(grant, "expired", 0);
  }

  function createToken(): string {
    nextToken += 1;
    // The random part prevents an entry instance from accidentally releasing another's grant.
    return `${epoch}.${nextToken}.${random.nextInt(2 ** 31).toString(36)}`;
  }

  function replyWithGrant(grant: GrantState): void {
    const { waiter, token, endpointGrant, grantedAtMs } = grant;
    waiter.resolve({
      kind: "grant",
      token,
      endpoint: endpointGrant.endpoint,
      address: endpointGrant.address,
      epoch,
      validForMs: computeMinElapsed(grantedAtMs - waiter.receivedAtMs) +
        grantValidMs,
    });
  }

  async function runBeforeGrant(
    grant: GrantState,
    hook: (request: SlotRequest, token: string) => Promise<void>,
  ): Promise<void> {
    try {
      await hook(grant.waiter.request, grant.token);
    } catch (error) {
      closeGrant(grant, "notSent", 0);
      grant.waiter.reject(toFault(error));
      return;
    }
    // The leader lease may have ended while the hook was running.
    if (isReady() && grants.has(grant.token)) {
      replyWithGrant(grant);
      return;
    }
    if (grants.has(grant.token)) closeGrant(grant, "notSent", 0);
    grant.waiter.reject(
      isEvacuated() ? createEvacuatedFault(options.dataCentre) : createFault(
        "unavailable",
        "Cannot grant a slot: this instance is no longer the leader",
      ),
    );
  }

  function startGrant(entry: QueueEntry<Waiter>, endpoint: string): void {
    const waiter = entry.item.value;
    removeWaiter(waiter);
    const grant: GrantState = {
      token: createToken(),
      waiter,
      entry,
      endpointGrant: endpoints.openGrant(endpoint, waiter.request),
      grantedAtMs: clock.now(),
      expiry: undefined,
    };
    grants.set(grant.token, grant);
    grant.expiry = expiries.add(waiter.deadlineMs + grantGraceMs, grant);
    if (beforeGrant === undefined) replyWithGrant(grant);
    else void runBeforeGrant(grant, beforeGrant);
  }

  function grantWaiting(): void {
    if (!isReady()) return;
    while (queue.getSize() > 0 && endpoints.hasFreeSlot()) {
      let endpoint: string | undefined;
      const entry = queue.take((waiter) => {
        endpoint = endpoints.pick(waiter.request);
        return endpoint !== undefined;
      });
      if (entry === undefined || endpoint === undefined) return;
      startGrant(entry, endpoint);
    }
  }

  /**
   * Throws `unavailable` if no endpoint serves the queue; after a failover,
   * requests wait for announcements.
   */
  function checkPool(
    request: SlotRequest,
    getPool: (queue: string) => QueuePool,
  ): void {
    const isRebuilding = clock.now() < rebuiltAtMs;
    if (isRebuilding) {
      const waitMs = acceptFromMs - clock.now();
      if (waitMs < request.remainingMs) return;
      throw createFault(
        "unavailable",
        `Cannot grant a slot: the new leader waits ${
          Math.ceil(waitMs)
        } ms for earlier grants to expire`,
      );
    }
    if (getPool(request.queue).slots > 0) return;
    throw createUnservedFault(request.queue);
  }

  /** Rejects the queued requests for which `createReason` returns a fault. */
  function rejectWaiting(
    createReason: (request: SlotRequest) => Fault | undefined,
  ): void {
    for (const siblings of [...waiters.values()]) {
      for (const waiter of [...siblings]) {
        const fault = createReason(waiter.request);
        if (fault === undefined) continue;
        if (waiter.entry === undefined || !queue.remove(waiter.entry)) continue;
        handleRejection(waiter, fault);
      }
    }
  }

  /**
   * Rejects requests waiting for a queue without endpoints, so that the entry
   * instance can try another data centre before the deadline.
   */
  function rejectUnserved(): void {
    rejectWaiting(({ queue: name }) =>
      endpoints.getPool(name).slots > 0 ? undefined : createUnservedFault(name)
    );
    unservedTimer = clock.setTimer(announcePeriodMs, rejectUnserved);
  }

  let unservedTimer = clock.setTimer(
    rebuiltAtMs - clock.now(),
    rejectUnserved,
  );

  /** Throws if no request may start or wait here, or none of this queue. */
  function checkAcceptance(
    request: SlotRequest,
    getPool: (queue: string) => QueuePool,
  ): void {
    if (isStopped) {
      throw createFault(
        "unavailable",
        "Cannot grant a slot: the slot controller has been stopped",
      );
    }
    if (!canGrant()) {
      throw createFault(
        "notLeader",
        "Cannot grant a slot: this instance has no leader lease",
      );
    }
    if (isEvacuated()) throw createEvacuatedFault(options.dataCentre);
    checkPool(request, getPool);
  }

  function buildQueueItem(waiter: Waiter): QueueItem<Waiter> {
    const { request, deadlineMs } = waiter;
    return {
      workspace: request.workspace,
      queue: request.queue,
      // Requests with different endpoint constraints must not block each other.
      lane: [request.queue, request.instance, ...request.avoid].join("\n"),
      deadlineMs: Math.min(deadlineMs, waiter.receivedAtMs + MAX_QUEUED_MS),
      value: waiter,
    };
  }

  function addWaiter(waiter: Waiter): void {
    const { request } = waiter;
    checkAcceptance(request, endpoints.getPool);
    const isRebuilding = endpoints.getPool(request.queue).slots === 0;
    waiter.entry = queue.add(buildQueueItem(waiter), {
      canStartNow: () => isRebuilding || endpoints.pick(request) !== undefined,
    });
    const siblings = waiters.get(request.requestId) ?? new Set();
    waiters.set(request.requestId, siblings.add(waiter));
    grantWaiting();
  }

  function createWaiter(
    request: SlotRequest,
    settle: Pick<Waiter, "resolve" | "reject">,
  ): Waiter {
    const receivedAtMs = clock.now();
    return {
      request,
      receivedAtMs,
      deadlineMs: receivedAtMs + request.remainingMs,
      ...settle,
      entry: undefined,
    };
  }

  function explainTurn(item: QueueItem<Waiter>): ExplainedTurn {
    if (!isReady() || clock.now() < acceptFromMs) return "newLeader";
    // As before each take; with all slots in use no request is considered.
    if (!endpoints.hasFreeSlot()) return "noSlot";
    let examined = 0;
    const turn = queue.explainTurn(item, ({ request }) => {
      examined += 1;
      // Ends the search, whose cost grows with the number of waiting workspaces.
      if (examined > MAX_EXAMINED_REQUESTS) return true;
      return endpoints.isPickable(request);
    });
    return examined > MAX_EXAMINED_REQUESTS ? "notExamined" : turn;
  }

  function explain(request: SlotRequest): SlotExplanation {
    const { findPool } = endpoints;
    const ignore = () => {};
    const waiter = createWaiter(request, { resolve: ignore, reject: ignore });
    const item = buildQueueItem(waiter);
    const addOptions: AddOptions = {
      canStartNow: () =>
        findPool(request.queue).slots === 0 || endpoints.isPickable(request),
      getPool: findPool,
    };
    const parts = {
      policy: getPolicy(request.workspace),
      excess: countExcess(request.workspace),
      standing: queue.getStanding(item, addOptions),
      choice: endpoints.explainPick(request),
      isRebuilding: clock.now() < rebuiltAtMs,
      acceptsInMs: Math.max(0, acceptFromMs - clock.now()),
    };
    try {
      checkAcceptance(request, findPool);
      const displacesOther = queue.checkAdd(item, addOptions);
      const turn = explainTurn(item);
      return buildSlotExplanation({ ...parts, turn, displacesOther });
    } catch (error) {
      return buildSlotExplanation({ ...parts, refusal: toFault(error) });
    }
  }

  function createCancelFault(request: SlotRequest): Fault {
    return createFault(
      "cancelled",
      `Request "${request.requestId}" was cancelled in the queue`,
      { ran: "no" },
    );
  }

  function cancelWaiter(waiter: Waiter): boolean {
    if (waiter.entry === undefined || !queue.remove(waiter.entry)) return false;
    handleRejection(waiter, createCancelFault(waiter.request));
    return true;
  }

  return {
    acquire(request, signal) {
      return new Promise<SlotGrant>((resolve, reject) => {
        let isSettled = false;
        const stop = () => {
          isSettled = true;
          signal?.removeEventListener("abort", handleAbort);
        };
        const waiter = createWaiter(request, {
          resolve(grant) {
            stop();
            resolve(grant);
          },
          reject(fault) {
            stop();
            reject(fault);
          },
        });
        const handleAbort = () => void cancelWaiter(waiter);
        if (signal?.aborted === true) throw createCancelFault(request);
        addWaiter(waiter);
        if (!isSettled) signal?.addEventListener("abort", handleAbort);
      });
    },
    explain,
    release(token, outcome, durationMs) {
      const grant = grants.get(token);
      if (grant === undefined) return false;
      closeGrant(grant, outcome, durationMs);
      return true;
    },
    cancel(requestId, { scope, instance } = {}) {
      let count = 0;
      for (const waiter of [...waiters.get(requestId) ?? []]) {
        const { request } = waiter;
        if (scope !== undefined && request.scope !== scope) continue;
        if (instance !== undefined && request.instance !== instance) continue;
        if (cancelWaiter(waiter)) count += 1;
      }
      return count;
    },
    receiveAnnouncement(input) {
      const previous = endpoints.getWorkspaceExcess();
      const hadExcess = previous.shared > 0 || previous.byWorkspace.size > 0;
      const isAccepted = endpoints.receiveAnnouncement(input);
      // Workspaces that were at their limit because of the excess may be eligible again.
      if (isAccepted && hadExcess) queue.updatePolicies();
      if (isAccepted) grantWaiting();
      return isAccepted;
    },
    updatePolicies() {
      if (isEvacuated()) {
        rejectWaiting(() => createEvacuatedFault(options.dataCentre));
      }
      queue.updatePolicies();
      grantWaiting();
    },
    getStatus: () => ({
      epoch,
      isReady: isReady(),
      queued: queue.getSize(),
      granted: grants.size,
      isRebuilding: clock.now() < rebuiltAtMs,
      sharedExcess: endpoints.getWorkspaceExcess().shared,
      workspaces: listWorkspaces(),
      endpoints: endpoints.list(),
    }),
    stop() {
      isStopped = true;
      unservedTimer.cancel();
      queue.stop();
    },
  };
}
