import { Buffer } from "node:buffer";
import { createHash } from "node:crypto";
import t from "tap";
import {
  createSeededRandom,
  createSilentLogger,
  createSystemClock,
  isFault,
} from "../src/common/mod.ts";
import { createRequestExecutor } from "../src/requests/execute.ts";
import { createForwarder } from "../src/requests/forward.ts";
import { createRecordedSlots } from "../src/requests/recorded_slots.ts";
import { createRequestRecords } from "../src/requests/records.ts";
import { createRetryBudget } from "../src/requests/retry_budget.ts";
import type { RecordedAnswer } from "../src/requests/types.ts";
import {
  type Behaviour,
  renderAnswer,
  startTcpEndpointStub,
  type TcpEndpointStub,
} from "./tcp_endpoint_stub.ts";

const SEED = 20261204;
const SLOTS = 2;
const REQUESTS = 120;
const DEADLINE_MS = 10_000;

interface Counter {
  inFlight: number;
  peak: number;
}

/** Answers after a few milliseconds, and sometimes resets or answers 503 instead. */
function createFaultyBehaviour(seed: number, counter: Counter): Behaviour {
  const random = createSeededRandom(seed);
  return (socket, request) => {
    counter.inFlight += 1;
    counter.peak = Math.max(counter.peak, counter.inFlight);
    setTimeout(() => {
      counter.inFlight -= 1;
      const draw = random.nextInt(12);
      if (draw === 0) socket.resetAndDestroy();
      else if (draw === 1) socket.write(renderAnswer("busy", 503));
      else socket.write(renderAnswer(`echo ${request.body}`));
    }, 1 + random.nextInt(15));
  };
}

function createSystem(
  endpoints: readonly TcpEndpointStub[],
  counters: readonly Counter[],
) {
  const clock = createSystemClock();
  const logger = createSilentLogger();
  const records = createRequestRecords();
  const leader = createRecordedSlots({
    clock,
    random: createSeededRandom(SEED),
    logger,
    dataCentre: "kochi",
    epoch: 1,
    getPolicy: () => ({ weight: 1, slotLimit: 100 }),
    failoverWaitMs: 0,
    endpoints: { announcementDelayMs: 20 },
    records,
    async propose(command) {
      await new Promise<void>((resolve) => setTimeout(resolve, 1));
      const result = records.apply(command);
      leader.updateWaiting();
      return result;
    },
  });
  function announce() {
    for (const [i, endpoint] of endpoints.entries()) {
      leader.controller.receiveAnnouncement({
        endpoint: `e${i}`,
        address: endpoint.address,
        dataCentre: "kochi",
        incarnation: 1,
        queues: ["orders"],
        slots: SLOTS,
        connections: 60,
        inFlight: counters[i]?.inFlight ?? 0,
        departing: false,
      });
    }
  }
  const entries = [0, 1, 2].map((i) => {
    const forwarder = createForwarder({ clock });
    const executor = createRequestExecutor({
      clock,
      random: createSeededRandom(SEED + i),
      logger,
      instance: `entry${i}`,
      slots: leader,
      forwarder,
      retryBudget: createRetryBudget({ maxTokens: 1_000 }),
    });
    return { forwarder, executor };
  });
  return { announce, entries, leader };
}

// Guards against faults that appear only when the parts work together over real
// connections that fail: a non-idempotent request that runs twice when it is
// sent through two entry instances at once, an answer to the wrong caller, a
// false "not run", and more requests at an endpoint than it has slots.
t.test("requests are answered once over failing endpoints", async (t) => {
  const counters: Counter[] = [0, 1, 2].map(() => ({ inFlight: 0, peak: 0 }));
  const endpoints = await Promise.all(
    counters.map((counter, i) =>
      startTcpEndpointStub(createFaultyBehaviour(SEED + i, counter))
    ),
  );
  const { announce, entries, leader } = createSystem(endpoints, counters);
  await new Promise<void>((resolve) => setTimeout(resolve, 30));
  announce();
  const announcing = setInterval(announce, 200);
  t.teardown(async () => {
    clearInterval(announcing);
    leader.stop();
    await Promise.all(entries.map(({ forwarder }) => forwarder.close()));
    await Promise.all(endpoints.map((endpoint) => endpoint.close()));
  });

  async function send(
    number: number,
    entry: number,
  ): Promise<RecordedAnswer | undefined> {
    const body = new Uint8Array(Buffer.from(`body ${number}`));
    const idempotent = number % 2 === 0;
    try {
      return await entries[entry % 3]!.executor.run({
        requestId: `r${number}`,
        scope: "workspace",
        workspace: "workspace",
        queue: "orders",
        idempotent,
        contentType: "text/plain",
        body,
        bodyHash: createHash("sha256").update(body).digest("hex"),
        remainingMs: DEADLINE_MS,
      });
    } catch (error) {
      if (!isFault(error)) throw error;
      const timesSeen = endpoints.flatMap(({ seen }) => seen)
        .filter((request) => request.body === `body ${number}`).length;
      // Of two copies of a request one may run and the other report "not run";
      // both may report it only if no endpoint saw the request. An idempotent
      // request has one copy.
      if (error.ran === "no" && timesSeen > 0 && idempotent) {
        t.fail(
          `${error.kind} reports "not run" for a request that was received`,
        );
      }
      return undefined;
    }
  }

  const answers = await Promise.all(
    Array.from({ length: REQUESTS }, async (_, number) => {
      const copies = number % 2 === 0 ? 1 : 2;
      return await Promise.all(
        Array.from(
          { length: copies },
          (_, copy) => send(number, number + copy),
        ),
      );
    }),
  );
  let answered = 0;
  for (const [number, copies] of answers.entries()) {
    const seen = endpoints.flatMap((endpoint) => endpoint.seen)
      .filter((request) => request.body === `body ${number}`).length;
    if (number % 2 === 1 && seen > 1) {
      t.fail(`request ${number} ran ${seen} times`);
    }
    const texts = copies.flatMap((copy) =>
      copy?.status === 200 ? [Buffer.from(copy.body).toString()] : []
    );
    if (texts.some((text) => text !== `echo body ${number}`)) {
      t.fail(`request ${number} got ${texts}`);
    }
    if (texts.length > 0) answered += 1;
  }
  for (const { peak } of counters) t.ok(peak <= SLOTS);
  // One in six sends fails; idempotent requests are retried, the others are not.
  t.ok(answered >= REQUESTS * 0.8, `${answered} answered`);
});
