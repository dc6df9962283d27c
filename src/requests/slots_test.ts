import fc from "fast-check";
import t from "tap";
import { createManualClock, createSeededRandom } from "../common/mod.ts";
import {
  acquireNow,
  buildAnnouncement,
  buildExpectedFault,
  buildRequest,
  createController,
  READY_MS,
} from "../../test/requests_helpers.ts";
import type { SlotController } from "./slots_types.ts";
import type { RequestOutcome, SlotGrant } from "./types.ts";

const SEED = 20261204;
fc.configureGlobal({ seed: SEED });

interface Endpoint {
  name: string;
  incarnation: number;
  inFlight: Set<object>;
  peak: number;
}

interface Simulation {
  seed: number;
  slots: number;
  lostReleases: number;
  unknownOutcomes: number;
  failovers: number;
  restarts: number;
}

/**
 * Runs requests against endpoints whose real number in flight is known. Sends
 * start late, releases are lost, endpoints run past the deadline, leaders change,
 * and announcements are delayed up to the limit and reordered.
 */
async function runSimulation(input: Simulation): Promise<Endpoint[]> {
  const random = createSeededRandom(input.seed);
  const clock = createManualClock();
  const endpoints: Endpoint[] = ["e1", "e2"].map((name) => ({
    name,
    incarnation: 1,
    inFlight: new Set(),
    peak: 0,
  }));
  let epoch = 1;
  let controller = createController(clock, { epoch });

  function runExchange(
    grant: SlotGrant,
    requestedAtMs: number,
    owner: SlotController,
  ) {
    const endpoint = endpoints.find(({ name }) => name === grant.endpoint)!;
    const latestMs = requestedAtMs + grant.validForMs;
    const delayMs = random.nextInt(3) === 0
      ? random.nextFloat() * (latestMs - clock.now())
      : random.nextFloat() * 5;
    const durationMs = random.nextInt(8) === 0
      ? 3_000 * random.nextFloat()
      : 150 * random.nextFloat();
    const request = {};
    clock.setTimer(delayMs, () => {
      // The request takes slightly longer to reach the endpoint than the sender knows.
      clock.setTimer(random.nextFloat() * 20, () => {
        endpoint.inFlight.add(request);
        endpoint.peak = Math.max(endpoint.peak, endpoint.inFlight.size);
      });
      const isUnknown = random.nextFloat() < input.unknownOutcomes;
      const outcome: RequestOutcome = isUnknown ? "unknown" : "answered";
      const workMs = isUnknown
        ? durationMs + 20 + random.nextInt(20_000)
        : durationMs + 20;
      clock.setTimer(workMs, () => void endpoint.inFlight.delete(request));
      if (random.nextFloat() < input.lostReleases) return;
      const answeredMs = isUnknown
        ? durationMs
        : workMs + random.nextFloat() * 20;
      const releaseDelayMs = random.nextInt(10) === 0
        ? 1_500 * random.nextFloat()
        : 1;
      clock.setTimer(answeredMs + releaseDelayMs, () => {
        owner.release(grant.token, outcome, answeredMs);
      });
    });
  }

  function sendRequest() {
    const owner = controller;
    const requestedAtMs = clock.now();
    const remainingMs = 200 + random.nextInt(4_000);
    owner.acquire(
      buildRequest({ remainingMs, instance: `entry${random.nextInt(9)}` }),
    )
      .then((grant) => runExchange(grant, requestedAtMs, owner), () => {});
  }

  for (let step = 0; step < 2_000; step++) {
    for (let i = random.nextInt(4); i > 0; i--) sendRequest();
    if (step % 100 === 0) {
      for (const endpoint of endpoints) {
        const announcement = buildAnnouncement({
          endpoint: endpoint.name,
          incarnation: endpoint.incarnation,
          slots: input.slots,
          inFlight: endpoint.inFlight.size,
        });
        clock.setTimer(random.nextFloat() * 490, () => {
          controller.receiveAnnouncement(announcement);
        });
      }
    }
    if (random.nextFloat() < input.failovers) {
      controller.stop();
      epoch += 1;
      controller = createController(clock, { epoch });
    }
    if (random.nextFloat() < input.restarts) {
      const endpoint = endpoints[random.nextInt(2)]!;
      endpoint.incarnation += 1;
      endpoint.inFlight.clear();
    }
    clock.advance(10);
    await Promise.resolve();
    await Promise.resolve();
  }
  return endpoints;
}

// Guards against overcommitment caused by lost releases, unknown outcomes, late
// announcements, endpoint restarts and leader changes.
t.test("an endpoint never has more in flight than its slots", async () => {
  const chance = fc.constantFrom(0, 0.05, 0.3);
  await fc.assert(
    fc.asyncProperty(
      fc.record({
        seed: fc.integer({ min: 1, max: 1e9 }),
        slots: fc.constantFrom(1, 2, 8),
        lostReleases: chance,
        unknownOutcomes: chance,
        failovers: fc.constantFrom(0, 0.002),
        restarts: fc.constantFrom(0, 0.002),
      }),
      async (input) => {
        const endpoints = await runSimulation(input);
        for (const { name, peak } of endpoints) {
          if (peak > input.slots) {
            throw new Error(`${name} had ${peak} in flight`);
          }
        }
        const most = Math.max(...endpoints.map(({ peak }) => peak));
        if (most === 0) throw new Error("nothing ran");
      },
    ),
    { numRuns: 40 },
  );
});

// Guards against slots that stay occupied after lost releases under steady load.
t.test("slots of lost releases are recovered", async (t) => {
  const clock = createManualClock();
  const controller = createController(clock);
  clock.advance(READY_MS);
  controller.receiveAnnouncement(buildAnnouncement());
  for (let i = 0; i < 8; i++) {
    t.ok(
      await acquireNow(controller, {
        remainingMs: 1_000,
        instance: `entry${i}`,
      }),
    );
  }
  t.notOk(
    await acquireNow(controller, { remainingMs: 1_000 }),
    "all slots are taken",
  );
  // The grants end at 1.5 s. A report received at least 1 s later was created after
  // any late arrival.
  clock.advance(2_600);
  t.notOk(
    await acquireNow(controller, { remainingMs: 1_000 }),
    "they may still be running",
  );
  controller.receiveAnnouncement(buildAnnouncement({ inFlight: 0 }));
  t.ok(await acquireNow(controller), "the report shows that they are not");

  // Under steady load, reports never drop below the load, so a recount is needed.
  const held: SlotGrant[] = [];
  const lost = await acquireNow(controller, { remainingMs: 100 });
  t.ok(lost);
  let best = 0;
  for (let second = 0; second < 60; second++) {
    for (const grant of held.splice(0)) {
      controller.release(grant.token, "answered", 900);
    }
    for (let i = 0; i < 8; i++) {
      const grant = await acquireNow(controller, {
        remainingMs: 50_000,
        instance: `entry${i}`,
      }).catch(() => undefined);
      if (grant !== undefined) held.push(grant);
    }
    best = Math.max(best, second > 10 ? held.length : 0);
    clock.advance(1_000);
    controller.receiveAnnouncement(
      buildAnnouncement({ inFlight: held.length }),
    );
  }
  t.equal(best, 8);
});

// Guards against a new leader that grants slots before previous grants have
// expired, or uses announcements sent before the last of their requests arrived.
t.test("a new leader waits for previous grants and new announcements", async (t) => {
  const clock = createManualClock();
  const controller = createController(clock, { epoch: 7 });
  t.equal(controller.receiveAnnouncement(buildAnnouncement()), false);
  let granted: SlotGrant | undefined;
  const acquired = controller.acquire(buildRequest()).then((grant) => {
    granted = grant;
  });
  clock.advance(1_100);
  t.equal(controller.receiveAnnouncement(buildAnnouncement()), false);
  clock.advance(READY_MS - 1_100);
  await Promise.resolve();
  t.equal(granted, undefined);
  controller.receiveAnnouncement(buildAnnouncement({ inFlight: 8 }));
  await Promise.resolve();
  t.equal(
    granted,
    undefined,
    "requests of the previous leader occupy the endpoint",
  );
  controller.receiveAnnouncement(buildAnnouncement({ inFlight: 7 }));
  await acquired;
  t.equal(granted?.epoch, 7);
  t.equal(
    granted?.validForMs,
    READY_MS * 0.98 + 1_000,
    "measured from the acquire call, on a clock that may be slower",
  );
  await t.rejects(
    createController(clock).acquire(buildRequest({ remainingMs: 1_000 })),
    buildExpectedFault("unavailable", "no"),
  );
});

// Guards against new work for endpoints that are departing, unresponsive or of an
// older incarnation, and against late announcements that make them usable again.
t.test("departing, unresponsive and outdated endpoints get no work", async (t) => {
  const clock = createManualClock();
  const controller = createController(clock);
  clock.advance(READY_MS);
  controller.receiveAnnouncement(buildAnnouncement({ incarnation: 5 }));
  t.ok(await acquireNow(controller));
  clock.advance(3_001);
  await t.rejects(
    controller.acquire(buildRequest()),
    buildExpectedFault("unavailable", "no"),
  );
  controller.receiveAnnouncement(buildAnnouncement({ incarnation: 5 }));
  t.ok(await acquireNow(controller));
  controller.receiveAnnouncement(
    buildAnnouncement({ incarnation: 5, departing: true }),
  );
  t.equal(
    controller.receiveAnnouncement(buildAnnouncement({ incarnation: 4 })),
    false,
  );
  controller.receiveAnnouncement(buildAnnouncement({ incarnation: 5 }));
  await t.rejects(
    controller.acquire(buildRequest()),
    buildExpectedFault("unavailable", "no"),
  );
  controller.receiveAnnouncement(buildAnnouncement({ incarnation: 6 }));
  t.ok(await acquireNow(controller));
  t.throws(
    () => controller.receiveAnnouncement(buildAnnouncement({ slots: -1 })),
    buildExpectedFault("badRequest"),
  );
  t.throws(
    () =>
      controller.receiveAnnouncement(
        buildAnnouncement({ dataCentre: "other" }),
      ),
    buildExpectedFault("badRequest"),
  );
});

// Guards against a retry at the endpoint that failed the request, and against
// waiting for another endpoint when there is none.
t.test("a retry avoids endpoints only if others serve the queue", async (t) => {
  const clock = createManualClock();
  const controller = createController(clock);
  clock.advance(READY_MS);
  controller.receiveAnnouncement(buildAnnouncement());
  const avoid = ["e1"];
  t.equal((await acquireNow(controller, { avoid }))?.endpoint, "e1");
  controller.receiveAnnouncement(
    buildAnnouncement({ endpoint: "e2", slots: 1 }),
  );
  t.equal((await acquireNow(controller, { avoid }))?.endpoint, "e2");
  t.notOk(
    await acquireNow(controller, { avoid }),
    "it waits for the other one",
  );
  t.equal((await acquireNow(controller))?.endpoint, "e1");
});

// Guards against more connections to an endpoint than it accepts. Idle
// connections count until they are guaranteed to be closed.
t.test("the connection budget holds across all entry instances", async (t) => {
  const clock = createManualClock();
  const controller = createController(clock);
  clock.advance(READY_MS);
  const announce = () =>
    controller.receiveAnnouncement(buildAnnouncement({ connections: 3 }));
  announce();
  for (const instance of ["a", "b", "c"]) {
    const grant = await acquireNow(controller, { instance });
    controller.release(grant!.token, "answered", 1);
  }
  t.notOk(
    await acquireNow(controller, { instance: "d" }),
    "three idle connections",
  );
  t.ok(
    await acquireNow(controller, { instance: "a" }),
    "an idle one is reused",
  );
  clock.advance(2_600);
  announce();
  t.equal(controller.getStatus().endpoints[0]?.connections, 1);
  t.ok(await acquireNow(controller, { instance: "d" }));
});

/** Creates four endpoints and a function that runs requests while some of them fail. */
function createEndpoints() {
  const clock = createManualClock();
  const controller = createController(clock);
  const names = ["e1", "e2", "e3", "e4"];
  function announce() {
    for (const endpoint of names) {
      controller.receiveAnnouncement(buildAnnouncement({ endpoint }));
    }
  }
  async function runRound(failing: readonly string[]) {
    const seen = new Set<string>();
    for (let i = 0; i < 80; i++) {
      const grant = (await acquireNow(controller))!;
      seen.add(grant.endpoint);
      const outcome = failing.includes(grant.endpoint) ? "failed" : "answered";
      controller.release(grant.token, outcome, 5);
    }
    return seen;
  }
  const getHealth = () =>
    controller.getStatus().endpoints.map(({ health }) => health);
  clock.advance(READY_MS);
  announce();
  return { clock, names, announce, runRound, getHealth };
}

// Guards against a failing endpoint that keeps getting work, against too many
// ejections, and against permanent ejection.
t.test("outliers are ejected, probed and readmitted within the limit", async (t) => {
  const { clock, announce, runRound, getHealth } = createEndpoints();
  await runRound(["e1"]);
  t.strictSame(getHealth(), ["ejected", "healthy", "healthy", "healthy"]);
  t.notOk((await runRound([])).has("e1"));
  await runRound(["e2"]);
  t.equal(
    getHealth().filter((health) => health === "ejected").length,
    1,
    "the limit holds",
  );
  await runRound([]);
  for (let i = 0; i < 5; i++) clock.advance(1_000), announce();
  t.equal(getHealth()[0], "probing");
  await runRound(["e1"]);
  t.equal(getHealth()[0], "ejected");
  for (let i = 0; i < 6; i++) clock.advance(1_000), announce();
  t.equal(getHealth()[0], "ejected", "the second ejection is longer");
  for (let i = 0; i < 4; i++) clock.advance(1_000), announce();
  await runRound([]);
  t.equal(getHealth()[0], "healthy");
});

// Guards against ejecting endpoints for a fault common to all of them, such as
// requests that always fail.
t.test("a common fault ejects no endpoint", async (t) => {
  const { names, runRound, getHealth } = createEndpoints();
  await runRound(names);
  t.strictSame(getHealth(), names.map(() => "healthy"));
});

// Guards against grants that outlast the failover wait because of a slow clock:
// the entry instance measures the validity including the time in the queue.
t.test("no request is queued longer than clock drift allows", async (t) => {
  const clock = createManualClock();
  const controller = createController(clock);
  clock.advance(READY_MS);
  const announce = () =>
    controller.receiveAnnouncement(buildAnnouncement({ slots: 1 }));
  announce();
  t.ok(await acquireNow(controller, { remainingMs: 60_000 }));
  const waiting = controller.acquire(buildRequest({ remainingMs: 60_000 }));
  for (let second = 0; second < 26; second++) clock.advance(1_000), announce();
  await t.rejects(waiting, buildExpectedFault("overloaded", "no"));
});

// Guards against rejections with a wrong "ran", and against requests that stay
// queued after a stop.
t.test("cancel, stop and a lost lease reject queued requests as not run", async (t) => {
  const clock = createManualClock();
  let isLeader = true;
  const controller = createController(clock, { canGrant: () => isLeader });
  clock.advance(READY_MS);
  controller.receiveAnnouncement(buildAnnouncement({ slots: 1 }));
  const grant = (await acquireNow(controller, { requestId: "first" }))!;
  const cancelled = controller.acquire(buildRequest({ requestId: "second" }));
  const other = controller.acquire(
    buildRequest({ requestId: "second", scope: "other" }),
  );
  const stop = new AbortController();
  const aborted = controller.acquire(
    buildRequest({ requestId: "second" }),
    stop.signal,
  );
  stop.abort();
  await t.rejects(aborted, buildExpectedFault("cancelled", "no"));
  t.equal(controller.getStatus().queued, 2, "only the aborted one is removed");
  t.equal(controller.cancel("second", { scope: "workspace" }), 1);
  await t.rejects(cancelled, buildExpectedFault("cancelled", "no"));
  t.equal(
    controller.cancel("first"),
    0,
    "a granted request is ended by its release",
  );
  isLeader = false;
  t.ok(controller.release(grant.token, "answered", 1));
  t.notOk(controller.release(grant.token, "answered", 1));
  t.equal(controller.getStatus().granted, 0, "no grant without the lease");
  await t.rejects(
    controller.acquire(buildRequest()),
    buildExpectedFault("notLeader", "no"),
  );
  controller.stop();
  await t.rejects(other, buildExpectedFault("unavailable", "no"));
});

// Guards against a leaked slot and a caller that waits forever when the start of a
// request cannot be recorded.
t.test("a failed start record releases the slot", async (t) => {
  const clock = createManualClock();
  let isFailing = true;
  const controller = createController(clock, {
    beforeGrant: () =>
      isFailing ? Promise.reject(new Error("no quorum")) : Promise.resolve(),
  });
  clock.advance(READY_MS);
  controller.receiveAnnouncement(buildAnnouncement({ slots: 1 }));
  await t.rejects(
    controller.acquire(buildRequest()),
    buildExpectedFault("internal"),
  );
  isFailing = false;
  t.ok(await acquireNow(controller));
});

// Guards against requests that wait until their deadline for a queue that no
// endpoint serves here, while another data centre could serve it.
t.test("requests queued during a failover are rejected if no endpoint announces itself", async (t) => {
  const clock = createManualClock();
  const controller = createController(clock, { epoch: 2 });
  const refused = controller.acquire(
    buildRequest({ remainingMs: 60_000 }),
  ).catch((fault) => fault);
  clock.advance(READY_MS + 2_000);
  t.match(await refused, { kind: "unavailable", ran: "no" });
  t.equal(controller.getStatus().queued, 0);
  controller.stop();
});
