/** Which crashes count, and how often, on the model of a cell. */

import t from "tap";
import { createSeededRandom } from "../common/mod.ts";
import {
  checkJobs,
  runUntilEnded,
  startDeadlyCell,
  submitJobs,
} from "../../test/deadly_cell.ts";

t.setTimeout(240_000);

/**
 * Moments of a leader change after a crash, by the return of the runner. It is back
 * after 3 s, and its records follow within 40 ms; without its id and address, the
 * lease has to end.
 */
const LEADER_CHANGES_MS = {
  sameId: [0, 3_013, 3_019, 3_025, 3_031, 3_037],
  newId: [0, 3_013, 3_019, 3_025, 3_031, 3_037],
  newIdAndAddress: [0, 3_000, 6_400, 6_600, 6_650, 6_700, 6_800],
};

for (const returnAs of ["sameId", "newId", "newIdAndAddress"] as const) {
  // Guards against a crash that no leader counts, or two do.
  t.test(`leader changes at any moment keep the count, ${returnAs}`, async (t) => {
    for (const afterMs of LEADER_CHANGES_MS[returnAs]) {
      const model = await startDeadlyCell(3, { returnAs });
      const healthy = submitJobs(model, "healthy", 1);
      const deadly = submitJobs(model, "deadly", 1);
      for (let crash = 1; crash <= 6; crash += 1) {
        const untilMs = model.clock.now() + 12_000;
        while (
          model.clock.now() < untilMs && model.runners.countCrashes() < crash
        ) await model.run(1);
        if (model.runners.countCrashes() < crash) break;
        await model.run(afterMs);
        model.changeLeader();
      }
      await runUntilEnded(model, [...deadly, ...healthy], 20_000);
      checkJobs(t, model, { deadly, healthy }, `${afterMs} ms`);
      t.ok(model.runners.countCrashes() >= 3, `${afterMs} ms counted once`);
    }
  });
}

// Guards against the blame on healthy tasks whose runners crash again and again.
t.test("independent crashes for over a minute fail no job", async (t) => {
  const model = await startDeadlyCell(10);
  const random = createSeededRandom(11);
  const healthy: string[] = [];
  for (let round = 0; round < 200; round += 1) {
    healthy.push(...submitJobs(model, `round-${round}`, 3));
    await model.run(random.nextInt(800));
    if (round % 2 === 0) model.runners.crash(`r${random.nextInt(10)}`);
  }
  await runUntilEnded(model, healthy, 60_000);
  checkJobs(t, model, { deadly: [], healthy });
});
