import fc from "fast-check";
import t from "tap";
import {
  buildAnnouncement,
  buildRequest,
  createController,
} from "../../test/requests_helpers.ts";
import { createManualClock, createSeededRandom } from "../common/mod.ts";
import type { SlotExplanation } from "./slot_explanation.ts";
import type { SlotGrant } from "./types.ts";

const SEED = 20261206;
const STEPS = 120;
const REASONS_WANTED = 10;

/** What became of a request: its endpoint, its refusal, or undefined while it waits. */
type Fate = { endpoint: string } | { message: string } | undefined;

/** Waits until the replies that are due have arrived. */
function waitForReplies(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}

/** Runs random traffic; with `isExplained`, each request is explained before it is sent. */
async function runTraffic(seed: number, isExplained: boolean) {
  const clock = createManualClock(1_000);
  const choice = createSeededRandom(seed);
  let isEvacuated = false;
  const controller = createController(clock, {
    getPolicy: (workspace) => ({
      weight: 1,
      slotLimit: workspace === "w0" ? 1 : 4,
    }),
    queue: { maxQueued: 6, maxQueuedPerWorkspace: 4 },
    endpoints: { connectionsPerEndpoint: 2 },
    isEvacuated: () => isEvacuated,
  });
  const open: SlotGrant[] = [];
  const log: unknown[] = [];
  const explained: { explanation: SlotExplanation; fate: Fate }[] = [];

  async function sendRequest(id: number): Promise<void> {
    const request = buildRequest({
      requestId: `r${id}`,
      workspace: `w${choice.nextInt(3)}`,
      queue: choice.nextInt(4) === 0 ? "parcels" : "orders",
      idempotent: choice.nextInt(3) > 0,
      remainingMs: 1 + choice.nextInt(1_500),
    });
    const before = JSON.stringify(controller.getStatus());
    const explanation = isExplained ? controller.explain(request) : undefined;
    t.equal(JSON.stringify(controller.getStatus()), before);
    let fate: Fate;
    controller.acquire(request).then((grant) => {
      fate = { endpoint: grant.endpoint };
      open.push(grant);
      log.push(grant);
    }, (error) => {
      fate = { message: error.message };
      log.push(error.message);
    });
    await waitForReplies();
    if (explanation !== undefined) explained.push({ explanation, fate });
  }

  function announce(): void {
    const index = choice.nextInt(4);
    controller.receiveAnnouncement(buildAnnouncement({
      endpoint: `e${index}`,
      queues: index === 0 ? ["orders", "parcels"] : ["orders"],
      slots: 2,
      connections: 1 + index,
      inFlight: choice.nextInt(8) === 0 ? 1 : 0,
      departing: choice.nextInt(10) === 0,
      incarnation: choice.nextInt(10) === 0 ? clock.now() : 1,
    }));
  }

  function release(): void {
    const grant = open.shift();
    if (grant === undefined) return;
    const outcome = choice.nextInt(2) === 0 ? "answered" : "failed";
    controller.release(grant.token, outcome, 50);
  }

  for (let step = 0; step < STEPS; step++) {
    const action = choice.nextInt(10);
    if (action < 5) await sendRequest(step);
    else if (action < 7) release();
    else if (action < 9) announce();
    else clock.advance(choice.nextInt(700));
    if (choice.nextInt(30) === 0) isEvacuated = !isEvacuated;
    await waitForReplies();
    log.push(controller.getStatus());
  }
  controller.stop();
  return { log, explained };
}

function checkFate({ explanation, fate }: {
  explanation: SlotExplanation;
  fate: Fate;
}): void {
  const { outcome, waitsFor, refusal, chosen } = explanation;
  // Whether a slot is left after the other requests is stated as unknown.
  if (waitsFor?.startsWith("behind")) return;
  if (outcome === "waits") t.equal(fate, undefined, `waits for ${waitsFor}`);
  else if (outcome === "refused") t.same(fate, { message: refusal?.message });
  else if (fate !== undefined && "endpoint" in fate) {
    t.ok(chosen.names.includes(fate.endpoint));
  } else t.fail(`starts, but ${JSON.stringify(fate)}`);
}

// Guards against an explanation that takes a slot, a share, a random number, a
// cached total or any other state: every later grant and status must be the same
// as without it. Also guards against an explanation that differs from what then
// happens to the same request.
t.test("an explanation changes nothing and comes true", async (t) => {
  const reasons = new Set<string>();
  t.comment(`seed ${SEED}`);
  await fc.assert(
    fc.asyncProperty(fc.integer(), async (seed) => {
      const { log, explained } = await runTraffic(seed, true);
      const reference = await runTraffic(seed, false);
      t.equal(JSON.stringify(log), JSON.stringify(reference.log));
      for (const entry of explained) {
        checkFate(entry);
        const { outcome, waitsFor, refusal, passedOver } = entry.explanation;
        reasons.add(`${outcome} ${waitsFor ?? refusal?.kind ?? ""}`);
        for (const { reason } of passedOver) reasons.add(reason);
      }
    }),
    { numRuns: 60, seed: SEED },
  );
  // Traffic that never meets most of the reasons would show little.
  t.ok(reasons.size >= REASONS_WANTED, [...reasons].sort().join(", "));
});
