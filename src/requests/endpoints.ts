/**
 * The endpoint table of the data centre leader. It tracks which endpoints are
 * usable and how many slots and connections of each are in use. The table is
 * kept in memory and rebuilt from announcements after a failover.
 */

import { createFault } from "../common/mod.ts";
import { parseEndpointAnnouncement } from "./announcement.ts";
import {
  type ConnectionBudget,
  createConnectionBudget,
} from "./connection_budget.ts";
import {
  ANNOUNCE_PERIOD_MS,
  ANNOUNCEMENT_DELAY_MS,
  CONNECTION_IDLE_MS,
  GRANT_GRACE_MS,
  GRANT_VALID_MS,
  MAX_MISSED_ANNOUNCEMENTS,
  REQUEST_TRANSIT_MS,
} from "./constants.ts";
import type {
  EndpointChoice,
  EndpointGrant,
  EndpointGrantEnd,
  EndpointObstacle,
  EndpointRequirements,
  EndpointTable,
  EndpointTableOptions,
} from "./endpoints_types.ts";
import type { QueuePool } from "./fair_queue_types.ts";
import { createOutlierDetector } from "./outliers.ts";
import {
  createSlotLedger,
  type LedgerGrant,
  type SlotLedger,
} from "./slot_ledger.ts";
import {
  createWorkspaceExcess,
  mergeWorkspaceCounts,
  type WorkspaceCounts,
  type WorkspaceExcess,
} from "./workspace_excess.ts";
import type { EndpointAnnouncement } from "./types.ts";

interface EndpointState {
  announcement: EndpointAnnouncement;
  queues: ReadonlySet<string>;
  announcedAtMs: number;
  isDeparting: boolean;
  isRecounting: boolean;
  ledger: SlotLedger;
  workspaceExcess: WorkspaceExcess;
  connections: ConnectionBudget;
}

interface GrantState extends EndpointGrant {
  readonly state: EndpointState;
  readonly ledgerGrant: LedgerGrant;
  isOpen: boolean;
}

const DEFAULT_CONNECTIONS_PER_ENDPOINT = 6;

/** Fraction of endpoints that may be recounted at the same time; each gets no work meanwhile. */
const MAX_RECOUNTING_FRACTION = 0.1;

/** How long the slot totals by queue are cached. */
const POOL_CACHE_MS = 100;

/** Announcement periods after which an unresponsive endpoint without grants is removed. */
const REMOVE_AFTER_PERIODS = 60;

/** Creates an empty endpoint table. */
export function createEndpointTable(
  options: EndpointTableOptions,
): EndpointTable {
  const { clock, random, dataCentre } = options;
  const acceptFromMs = options.acceptFromMs ?? -Infinity;
  const announcePeriodMs = options.announcePeriodMs ?? ANNOUNCE_PERIOD_MS;
  const announcementDelayMs = options.announcementDelayMs ??
    ANNOUNCEMENT_DELAY_MS;
  const grantValidMs = options.grantValidMs ?? GRANT_VALID_MS;
  const announcementTimeoutMs = announcePeriodMs * MAX_MISSED_ANNOUNCEMENTS;
  // A recount pauses an endpoint until its grants are settled and it has announced.
  const recountPauseMs = grantValidMs + REQUEST_TRANSIT_MS +
    announcementDelayMs +
    announcePeriodMs;
  const endpoints = new Map<string, EndpointState>();
  const pools = new Map<string, QueuePool>();
  let poolsSinceMs = -Infinity;
  let workspaceExcess: WorkspaceCounts = { byWorkspace: new Map(), shared: 0 };
  const outliers = createOutlierDetector(clock, options.outliers);

  function isAnnounced(state: EndpointState): boolean {
    return clock.now() - state.announcedAtMs <= announcementTimeoutMs;
  }

  /** Returns why the endpoint is not in use, regardless of its free capacity. */
  function findUseObstacle(state: EndpointState): EndpointObstacle | undefined {
    if (!isAnnounced(state)) return "silent";
    if (state.isDeparting) return "draining";
    const health = outliers.getHealth(state.announcement.endpoint);
    return health === "ejected" ? "ejected" : undefined;
  }

  function isUsable(state: EndpointState): boolean {
    return findUseObstacle(state) === undefined;
  }

  /** Returns why the endpoint has no free slot. */
  function findSlotObstacle(
    state: EndpointState,
  ): EndpointObstacle | undefined {
    const obstacle = findUseObstacle(state);
    if (obstacle !== undefined) return obstacle;
    if (state.isRecounting) return "recounting";
    const inUse = state.ledger.getInUse();
    if (inUse >= state.announcement.slots) return "full";
    const health = outliers.getHealth(state.announcement.endpoint);
    const isFree = health === "healthy" || state.ledger.getOpenCount() === 0;
    return isFree ? undefined : "probing";
  }

  function hasSlot(state: EndpointState): boolean {
    return findSlotObstacle(state) === undefined;
  }

  /** Returns why an endpoint with a free slot cannot get this request. */
  function findRequestObstacle(
    state: EndpointState,
    requirements: EndpointRequirements,
  ): EndpointObstacle | undefined {
    const { endpoint, connections } = state.announcement;
    // A probe may fail. Do not probe with a non-idempotent request while a
    // healthy endpoint serves its queue.
    if (
      !requirements.idempotent && outliers.getHealth(endpoint) === "probing" &&
      hasEndpoint(requirements.queue, isHealthy)
    ) return "probedByIdempotent";
    const hasFreeConnection = state.connections.hasFreeConnection(
      requirements.instance,
      connections,
      clock.now(),
    );
    return hasFreeConnection ? undefined : "noConnection";
  }

  function isHealthy(state: EndpointState): boolean {
    return isUsable(state) &&
      outliers.getHealth(state.announcement.endpoint) === "healthy";
  }

  function hasEndpoint(
    queue: string,
    accepts: (state: EndpointState) => boolean,
  ): boolean {
    for (const state of endpoints.values()) {
      if (state.queues.has(queue) && accepts(state)) return true;
    }
    return false;
  }

  /**
   * Calls `handleBest` for each suitable endpoint whose load is at most the
   * lowest one so far; `ties` counts those with this load, starting at 1.
   */
  function findLeastLoaded(
    requirements: EndpointRequirements,
    handleBest: (endpoint: string, ties: number) => void,
  ): void {
    const { avoid } = requirements;
    // Waiting for a slot at another endpoint is better than failing again at
    // the same one, but only if another usable endpoint serves the queue.
    const isAvoiding = avoid.length > 0 && hasEndpoint(
      requirements.queue,
      (other) =>
        isUsable(other) && !avoid.includes(other.announcement.endpoint),
    );
    let bestLoad = Infinity;
    let ties = 0;
    for (const [endpoint, state] of endpoints) {
      if (isAvoiding && avoid.includes(endpoint)) continue;
      if (!state.queues.has(requirements.queue) || !hasSlot(state)) continue;
      const load = state.ledger.getInUse() / state.announcement.slots;
      if (load > bestLoad) continue;
      if (findRequestObstacle(state, requirements) !== undefined) continue;
      ties = load < bestLoad ? 1 : ties + 1;
      bestLoad = load;
      handleBest(endpoint, ties);
    }
  }

  function pick(requirements: EndpointRequirements): string | undefined {
    let best: string | undefined;
    findLeastLoaded(requirements, (endpoint, ties) => {
      if (ties === 1 || random.nextInt(ties) === 0) best = endpoint;
    });
    return best;
  }

  function isPickable(requirements: EndpointRequirements): boolean {
    let isFound = false;
    findLeastLoaded(requirements, () => {
      isFound = true;
    });
    return isFound;
  }

  function explainPick(requirements: EndpointRequirements): EndpointChoice {
    let chosen: string[] = [];
    findLeastLoaded(requirements, (endpoint, ties) => {
      if (ties === 1) chosen = [];
      chosen.push(endpoint);
    });
    const isChosen = new Set(chosen);
    const passedOver = new Map<EndpointObstacle, string[]>();
    for (const [endpoint, state] of endpoints) {
      if (!state.queues.has(requirements.queue)) continue;
      if (isChosen.has(endpoint)) continue;
      const reason = findSlotObstacle(state) ??
        findRequestObstacle(state, requirements) ?? "busier";
      const names = passedOver.get(reason) ?? [];
      passedOver.set(reason, names);
      names.push(endpoint);
    }
    return { chosen, passedOver };
  }

  function updateRecount(state: EndpointState): void {
    const { ledger, announcement } = state;
    const sinceMs = ledger.getExcessSince();
    if (state.isRecounting) {
      // All grants settle during the pause, so this report is exact.
      const isDone = sinceMs === undefined || ledger.isSettled(clock.now());
      if (isDone) state.isRecounting = false;
      return;
    }
    if (sinceMs === undefined) return;
    // Under steady load, reports never drop low enough to reduce the excess. Start
    // a recount once the excess has cost as much slot time as the pause will.
    const lostMs = ledger.getExcess() * (clock.now() - sinceMs);
    if (lostMs < announcement.slots * recountPauseMs) return;
    let recounting = 0;
    for (const other of endpoints.values()) {
      if (other.isRecounting) recounting += 1;
    }
    const maxRecounting = Math.max(
      1,
      Math.floor(endpoints.size * MAX_RECOUNTING_FRACTION),
    );
    if (recounting < maxRecounting) state.isRecounting = true;
  }

  /** Caches the sum, since the fair queue reads it for each request and workspace. */
  function updateWorkspaceExcess(): void {
    const states = [...endpoints.values()];
    workspaceExcess = mergeWorkspaceCounts(
      states.map((state) => state.workspaceExcess.getCounts()),
    );
  }

  function addEndpoint(announcement: EndpointAnnouncement): void {
    endpoints.set(announcement.endpoint, {
      announcement,
      queues: new Set(announcement.queues),
      announcedAtMs: clock.now(),
      isDeparting: announcement.departing,
      isRecounting: false,
      ledger: createSlotLedger(announcement.inFlight, clock.now(), {
        announcementDelayMs,
        grantValidMs,
        requestTransitMs: REQUEST_TRANSIT_MS,
      }),
      workspaceExcess: createWorkspaceExcess({
        ...announcement,
        maxExcess: announcement.inFlight,
      }, announcementDelayMs),
      connections: createConnectionBudget({
        // The grace period allows for an idle timer that fires late.
        idleMs: GRANT_GRACE_MS +
          (options.connectionIdleMs ?? CONNECTION_IDLE_MS),
        maxPerInstance: options.connectionsPerEndpoint ??
          DEFAULT_CONNECTIONS_PER_ENDPOINT,
      }),
    });
    outliers.add(announcement.endpoint);
  }

  function updateEndpoint(
    state: EndpointState,
    announcement: EndpointAnnouncement,
  ): void {
    const hasRestarted =
      announcement.incarnation > state.announcement.incarnation;
    // Announcements may arrive out of order, so a departure is final for the
    // incarnation.
    state.isDeparting = announcement.departing ||
      (state.isDeparting && !hasRestarted);
    state.announcement = announcement;
    state.queues = new Set(announcement.queues);
    state.announcedAtMs = clock.now();
    const { inFlight } = announcement;
    state.ledger.receiveReport({ inFlight, hasRestarted }, clock.now());
    state.workspaceExcess.receiveReport({
      ...announcement,
      maxExcess: state.ledger.getMaxExcess(),
    }, clock.now());
    updateRecount(state);
  }

  function removeUnresponsive(): void {
    for (const [endpoint, state] of endpoints) {
      const silentMs = clock.now() - state.announcedAtMs;
      if (silentMs <= announcePeriodMs * REMOVE_AFTER_PERIODS) continue;
      if (state.ledger.getOpenCount() > 0) continue;
      endpoints.delete(endpoint);
      outliers.remove(endpoint);
    }
  }

  function receiveAnnouncement(input: unknown): boolean {
    const announcement = parseEndpointAnnouncement(input);
    if (announcement.dataCentre !== dataCentre) {
      throw createFault(
        "badRequest",
        `Cannot accept announcement of endpoint "${announcement.endpoint}": ` +
          `its data centre is "${announcement.dataCentre}", not "${dataCentre}"`,
      );
    }
    if (clock.now() < acceptFromMs) return false;
    handlePoolChange();
    removeUnresponsive();
    const state = endpoints.get(announcement.endpoint);
    if (state === undefined) {
      addEndpoint(announcement);
      updateWorkspaceExcess();
      return true;
    }
    if (announcement.incarnation < state.announcement.incarnation) return false;
    updateEndpoint(state, announcement);
    updateWorkspaceExcess();
    return true;
  }

  function computePool(queue: string): QueuePool {
    let slots = 0;
    const queues = new Set<string>();
    for (const state of endpoints.values()) {
      if (!state.queues.has(queue) || !isUsable(state)) continue;
      slots += state.announcement.slots;
      for (const name of state.queues) queues.add(name);
    }
    return { slots, queues };
  }

  function hasFreshPools(): boolean {
    return clock.now() - poolsSinceMs < POOL_CACHE_MS;
  }

  function getPool(queue: string): QueuePool {
    if (!hasFreshPools()) handlePoolChange();
    let pool = pools.get(queue);
    if (pool === undefined) {
      pool = computePool(queue);
      pools.set(queue, pool);
    }
    return pool;
  }

  function findPool(queue: string): QueuePool {
    return (hasFreshPools() ? pools.get(queue) : undefined) ??
      computePool(queue);
  }

  function handlePoolChange(): void {
    pools.clear();
    poolsSinceMs = clock.now();
  }

  function closeGrant(grant: EndpointGrant, end: EndpointGrantEnd): void {
    const granted = grant as GrantState;
    if (!granted.isOpen) return;
    granted.isOpen = false;
    const { state, ledgerGrant, endpoint, instance } = granted;
    const { outcome, durationMs } = end;
    const hasEnded = outcome !== "unknown" && outcome !== "expired";
    state.ledger.closeGrant(ledgerGrant, { hasEnded, durationMs }, clock.now());
    state.connections.closeGrant(instance, clock.now());
    if (!hasEnded) {
      state.workspaceExcess.addUnconfirmed(granted.workspace, clock.now());
      updateWorkspaceExcess();
    }
    // An expired grant points to a failed entry instance rather than the endpoint.
    if (outcome === "expired") return;
    outliers.recordOutcome(endpoint, outcome === "answered", () => {
      const isOther = (other: EndpointState) =>
        other !== state && isUsable(other);
      return [...state.queues].every((queue) => hasEndpoint(queue, isOther));
    });
  }

  return {
    receiveAnnouncement,
    pick,
    isPickable,
    explainPick,
    openGrant(endpoint, { instance, workspace }) {
      const state = endpoints.get(endpoint);
      if (state === undefined) {
        throw createFault(
          "internal",
          `Cannot open a grant: endpoint "${endpoint}" is unknown`,
        );
      }
      state.connections.openGrant(instance);
      const grant: GrantState = {
        endpoint,
        address: state.announcement.address,
        instance,
        workspace,
        state,
        ledgerGrant: state.ledger.openGrant(clock.now()),
        isOpen: true,
      };
      return grant;
    },
    closeGrant,
    hasFreeSlot() {
      for (const state of endpoints.values()) {
        if (hasSlot(state)) return true;
      }
      return false;
    },
    getPool,
    findPool,
    getWorkspaceExcess: () => workspaceExcess,
    list: () =>
      [...endpoints].map(([endpoint, state]) => ({
        endpoint,
        address: state.announcement.address,
        incarnation: state.announcement.incarnation,
        slots: state.announcement.slots,
        open: state.ledger.getOpenCount(),
        excess: state.ledger.getExcess(),
        connections: state.connections.getCount(clock.now()),
        health: outliers.getHealth(endpoint),
        isAnnounced: isAnnounced(state),
        isDeparting: state.isDeparting,
        isRecounting: state.isRecounting,
      })),
  };
}
