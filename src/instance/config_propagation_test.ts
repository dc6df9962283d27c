import t from "tap";
import { createManualClock } from "../common/mod.ts";
import {
  UNREACHABLE_VERSION,
  waitForPropagation,
} from "./config_propagation.ts";

/** Runs a wait; `getVersion` tells the version of a data centre at a time. */
async function runWait(
  getVersion: (dataCentre: string, atMs: number) => number,
) {
  const clock = createManualClock(0);
  const dataCentres = ["north", "south", "west"];
  let tookMs: number | undefined;
  const waiting = waitForPropagation({
    clock,
    version: 5,
    dataCentres,
    getVersions: () =>
      new Map(
        dataCentres.map((name) => [name, getVersion(name, clock.now())]),
      ),
  }).then((reach) => {
    tookMs = clock.now();
    return reach;
  });
  while (tookMs === undefined) {
    clock.advance(10);
    await new Promise<void>((resolve) => setImmediate(resolve));
  }
  return { ...await waiting, tookMs };
}

// Guards against an operator who is told that data centres are pending which
// are only slow, as on a busy machine beside one that is cut off.
t.test("late data centres are waited for", async (t) => {
  const { pending, tookMs } = await runWait((name, atMs) => {
    if (name === "south") return UNREACHABLE_VERSION;
    return atMs >= 2_000 ? 5 : 4;
  });
  t.strictSame(pending, ["south"]);
  t.ok(tookMs < 2_200, `answered after ${tookMs} ms`);
});

// Guards against an answer that waits for a data centre that is cut off.
t.test("a data centre that is not heard is not waited for", async (t) => {
  const { pending, inForce, tookMs } = await runWait((name) =>
    name === "south" ? UNREACHABLE_VERSION : 5
  );
  t.strictSame(pending, ["south"]);
  t.strictSame(inForce, ["north", "west"]);
  t.ok(tookMs < 1_700, `answered after ${tookMs} ms`);
});

t.test("a change that never comes is reported", async (t) => {
  const { pending, tookMs } = await runWait((name) => name === "west" ? 4 : 5);
  t.strictSame(pending, ["west"]);
  t.ok(tookMs < 5_200, `answered after ${tookMs} ms`);
});

t.test("an answer comes as soon as all have the change", async (t) => {
  t.ok((await runWait(() => 5)).tookMs <= 10);
});
