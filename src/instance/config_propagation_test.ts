import t from "tap";
import { createManualClock } from "../common/mod.ts";
import {
  UNREACHABLE_VERSION,
  waitForPropagation,
} from "./config_propagation.ts";

/** Runs a wait; `getVersion` returns the version of a data centre at a given time. */
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

// Guards against slow data centres being reported as pending, for example on a
// busy machine while another data centre is partitioned.
t.test("the wait covers lagging data centres", async (t) => {
  const { pending, tookMs } = await runWait((name, atMs) => {
    if (name === "south") return UNREACHABLE_VERSION;
    return atMs >= 2_000 ? 5 : 4;
  });
  t.strictSame(pending, ["south"]);
  t.ok(tookMs < 2_200, `answered after ${tookMs} ms`);
});

// Guards against a long wait for a partitioned data centre.
t.test("the wait for an unreachable data centre is short", async (t) => {
  const { pending, inForce, tookMs } = await runWait((name) =>
    name === "south" ? UNREACHABLE_VERSION : 5
  );
  t.strictSame(pending, ["south"]);
  t.strictSame(inForce, ["north", "west"]);
  t.ok(tookMs < 1_700, `answered after ${tookMs} ms`);
});

t.test("a data centre that never gets the change is pending", async (t) => {
  const { pending, tookMs } = await runWait((name) => name === "west" ? 4 : 5);
  t.strictSame(pending, ["west"]);
  t.ok(tookMs < 5_200, `answered after ${tookMs} ms`);
});

t.test("the wait ends once all data centres have the change", async (t) => {
  t.ok((await runWait(() => 5)).tookMs <= 10);
});
