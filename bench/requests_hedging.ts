/**
 * Simulates slow endpoints with and without hedging: the request executor uses
 * the slot controller on a manual clock. An endpoint keeps processing an aborted
 * request, because HTTP has no means to cancel it.
 */

import {
  createManualClock,
  createSeededRandom,
  createSilentLogger,
} from "../src/common/mod.ts";
import { createRequestExecutor } from "../src/requests/execute.ts";
import { createRetryBudget } from "../src/requests/retry_budget.ts";
import { createSlotController } from "../src/requests/slots.ts";
import type { Forwarder, SlotClient } from "../src/requests/types.ts";
import {
  computePercentile,
  CONNECTIONS,
  DEADLINE_MS,
  ENDPOINTS,
  MEAN_DURATION_MS,
  SLOTS,
} from "./requests_simulation.ts";

/** Options of one run. */
export interface HedgingOptions {
  readonly seed: number;
  /** Offered load as a fraction of the capacity of healthy endpoints. */
  readonly load: number;
  /** Number of endpoints that take ten times as long. */
  readonly slowEndpoints: number;
  /** Every nth request takes ten times as long at any endpoint; 0 for none. */
  readonly slowRequestPeriod: number;
  /** Hedging delay as a multiple of the mean duration; undefined disables hedging. */
  readonly hedgeFactor: number | undefined;
  readonly lengthMs: number;
}

/** Results of one run; times in milliseconds. */
export interface HedgingResult {
  readonly offered: number;
  readonly answered: number;
  readonly p50Ms: number;
  readonly p99Ms: number;
  /** Sends for each answered request. */
  readonly sendsPerAnswer: number;
}

const SLOW_FACTOR = 10;
const READY_MS = 1_700;

/** Runs one simulation. */
export async function runHedging(
  options: HedgingOptions,
): Promise<HedgingResult> {
  const { seed, load, slowEndpoints, slowRequestPeriod } = options;
  const { hedgeFactor, lengthMs } = options;
  const clock = createManualClock();
  const random = createSeededRandom(seed);
  const logger = createSilentLogger();
  const inFlight = new Array<number>(ENDPOINTS).fill(0);
  const controller = createSlotController({
    clock,
    random: createSeededRandom(1),
    logger,
    dataCentre: "kochi",
    epoch: 1,
    getPolicy: () => ({ weight: 1, slotLimit: ENDPOINTS * SLOTS }),
    endpoints: { connectionsPerEndpoint: SLOTS },
  });
  let sends = 0;
  const isSlowRequest = (requestId: string) =>
    slowRequestPeriod > 0 &&
    Number(requestId.slice(1)) % slowRequestPeriod === 0;
  const forwarder: Forwarder = {
    send(request) {
      sends += 1;
      const index = Number(new URL(request.address).port) - 1;
      const isSlow = index < slowEndpoints || isSlowRequest(request.requestId);
      const factor = isSlow ? SLOW_FACTOR : 1;
      const durationMs = factor * MEAN_DURATION_MS * (0.5 + random.nextFloat());
      inFlight[index] = (inFlight[index] ?? 0) + 1;
      return new Promise((resolve) => {
        clock.setTimer(durationMs, () => {
          inFlight[index] = (inFlight[index] ?? 0) - 1;
          const body = new Uint8Array();
          const answer = { status: 200, contentType: "", body, durationMs };
          resolve({ kind: "answered", answer });
        });
        request.signal?.addEventListener("abort", () => {
          resolve({ kind: "unknown", failure: "aborted", durationMs });
        });
        clock.setTimer(request.timeoutMs, () => {
          resolve({ kind: "unknown", failure: "deadline", durationMs });
        });
      });
    },
    setEndpoints() {},
    close: () => Promise.resolve(),
  };
  const slots: SlotClient = {
    acquire: (request) => controller.acquire(request),
    release({ token, outcome, durationMs }) {
      controller.release(token, outcome, durationMs);
      return Promise.resolve();
    },
  };
  const executor = createRequestExecutor({
    clock,
    random,
    logger,
    instance: "entry1",
    slots,
    forwarder,
    retryBudget: createRetryBudget(),
    ...(hedgeFactor === undefined ? {} : { hedgeFactor }),
  });
  const durations: number[] = [];
  let offered = 0;
  const meanMs = slowRequestPeriod === 0
    ? MEAN_DURATION_MS
    : MEAN_DURATION_MS * (1 + (SLOW_FACTOR - 1) / slowRequestPeriod);
  const requestsPerMs = load * ENDPOINTS * SLOTS / meanMs;
  let dueRequests = 0;
  for (let nowMs = 0; nowMs < READY_MS + lengthMs + DEADLINE_MS; nowMs++) {
    clock.advance(1);
    for (let i = 0; i < ENDPOINTS; i++) {
      if ((nowMs + 30 * i) % 1_000 !== 0) continue;
      controller.receiveAnnouncement({
        endpoint: `e${i}`,
        address: `http://127.0.0.1:${i + 1}`,
        dataCentre: "kochi",
        incarnation: 1,
        queues: ["orders"],
        slots: SLOTS,
        connections: CONNECTIONS,
        inFlight: inFlight[i],
        departing: false,
      });
    }
    dueRequests += nowMs >= READY_MS + 1_000 && nowMs < READY_MS + lengthMs
      ? requestsPerMs
      : 0;
    for (; dueRequests >= 1; dueRequests--) {
      offered += 1;
      const startedMs = clock.now();
      executor.run({
        requestId: `r${offered}`,
        scope: "workspace",
        workspace: "workspace",
        queue: "orders",
        idempotent: true,
        contentType: "",
        body: new Uint8Array(),
        bodyHash: "",
        remainingMs: DEADLINE_MS,
      }).then(() => durations.push(clock.now() - startedMs), () => {});
    }
    await new Promise<void>((resolve) => setImmediate(() => resolve()));
  }
  return {
    offered,
    answered: durations.length,
    p50Ms: computePercentile(durations, 50),
    p99Ms: computePercentile(durations, 99),
    sendsPerAnswer: sends / Math.max(1, durations.length),
  };
}
