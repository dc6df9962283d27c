import t from "tap";
import fc from "fast-check";
import {
  createSeededRandom,
  fitsWithin,
  type Resources,
} from "../common/mod.ts";
import { buildResources } from "../../test/scheduling_cell.ts";
import { createPlacer, type PlacerWorker } from "./placement.ts";

const SEED = 20_261_204;

function buildAmount(max: number): fc.Arbitrary<Resources> {
  const amount = fc.integer({ min: 0, max });
  return fc.record({
    processors: amount,
    memoryMb: amount,
    accelerators: fc.integer({ min: 0, max: 3 }),
  });
}

// Guards against an index that loses a worker, returns one without enough free capacity, or misses the only one that fits.
t.test("the index agrees with an examination of every worker", (t) => {
  t.comment(`seed ${SEED}`);
  const step = fc.record({
    size: buildAmount(9_000),
    isRelease: fc.boolean(),
    strategy: fc.constantFrom("pack" as const, "spread" as const),
    closed: fc.nat({ max: 30 }),
  });
  const property = fc.property(
    fc.array(buildAmount(20_000), { minLength: 1, maxLength: 20 }),
    fc.array(step, { maxLength: 120 }),
    (capacities, steps) => {
      const placer = createPlacer({ random: createSeededRandom(1) });
      const workers = capacities.map((capacity, number) =>
        placer.addWorker({ id: `w${number}`, rack: `r${number % 3}`, capacity })
      );
      const held: { worker: PlacerWorker; size: Resources }[] = [];
      for (const { size, isRelease, strategy, closed } of steps) {
        const changed = workers[closed];
        if (changed !== undefined) {
          placer.setAccepting(changed, !changed.accepting);
        }
        const last = isRelease ? held.pop() : undefined;
        if (last !== undefined) placer.release(last.worker, last.size);
        const hasRoom = workers.some(({ accepting, capacity, committed }) =>
          accepting && fitsWithin({
            processors: committed.processors + size.processors,
            memoryMb: committed.memoryMb + size.memoryMb,
            accelerators: committed.accelerators + size.accelerators,
          }, capacity)
        );
        const worker = placer.place({ resources: size, strategy });
        if ((worker !== undefined) !== hasRoom) return false;
        if (worker === undefined) continue;
        if (!worker.accepting || !placer.commit(worker, size)) return false;
        held.push({ worker, size });
        if (!fitsWithin(worker.committed, worker.capacity)) return false;
      }
      return true;
    },
  );
  fc.assert(property, { seed: SEED, numRuns: 500 });
  t.end();
});

// Guards against a commit beyond capacity, whichever worker was picked.
t.test("a commit beyond capacity is refused", (t) => {
  const placer = createPlacer({ random: createSeededRandom(1) });
  const worker = placer.addWorker({
    id: "w",
    rack: "r",
    capacity: buildResources(4, 4, 1),
  });
  t.equal(placer.commit(worker, buildResources(3, 3)), true);
  t.equal(placer.commit(worker, buildResources(2, 1)), false);
  t.equal(placer.commit(worker, buildResources(1, 2)), false);
  t.equal(placer.commit(worker, buildResources(0, 0, 2)), false);
  t.strictSame(worker.committed, buildResources(3, 3));
  t.end();
});

// Guards against accelerators that are blocked by tasks that do not use them.
t.test("work without accelerators leaves them free", (t) => {
  const placer = createPlacer({ random: createSeededRandom(1) });
  placer.addWorker({
    id: "accelerated",
    rack: "r0",
    capacity: buildResources(8, 8, 4),
  });
  placer.addWorker({ id: "plain", rack: "r0", capacity: buildResources(16) });
  for (const strategy of ["pack", "spread"] as const) {
    t.equal(
      placer.place({ resources: buildResources(2), strategy })?.id,
      "plain",
    );
  }
  t.end();
});
