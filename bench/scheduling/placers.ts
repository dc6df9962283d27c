/** The ways of placing that the index of the library is compared with. */

import {
  addResources,
  fitsWithin,
  NO_RESOURCES,
  type Random,
  type Resources,
  subtractResources,
} from "../../src/common/mod.ts";
import { createPlacer } from "../../src/scheduling/mod.ts";

/** A placer reduced to what the comparison needs; workers are numbered. */
export interface ComparedPlacer {
  /** Picks a worker and commits the amount; -1 when none was found. */
  place(amount: Resources): number;
  release(worker: number, amount: Resources): void;
}

// As many as a decision can look at in a few microseconds.
const SAMPLES_PER_DECISION = 16;

function computeLeftover(free: Resources, amount: Resources): number {
  return (free.processors - amount.processors) / 1_000 +
    (free.memoryMb - amount.memoryMb) / 4_096 +
    8 * (free.accelerators - amount.accelerators);
}

/** The library's index by free resources. */
export function createIndexPlacer(
  capacities: readonly Resources[],
  random: Random,
): ComparedPlacer {
  const placer = createPlacer({ random });
  const workers = capacities.map((capacity, number) =>
    placer.addWorker({
      id: `${number}`,
      rack: `r${Math.floor(number / 8)}`,
      capacity,
    })
  );
  return {
    place(resources) {
      const worker = placer.place({ resources, strategy: "pack" });
      if (worker === undefined) return -1;
      return placer.commit(worker, resources) ? Number(worker.id) : -1;
    },
    release: (worker, amount) => placer.release(workers[worker]!, amount),
  };
}

function createBestFitPlacer(
  capacities: readonly Resources[],
  listCandidates: () => Iterable<number>,
): ComparedPlacer {
  const committed = capacities.map(() => NO_RESOURCES);
  return {
    place(amount) {
      let best = -1;
      let bestLeftover = Infinity;
      for (const worker of listCandidates()) {
        const free = subtractResources(capacities[worker]!, committed[worker]!);
        if (!fitsWithin(amount, free)) continue;
        const leftover = computeLeftover(free, amount);
        if (leftover >= bestLeftover) continue;
        best = worker;
        bestLeftover = leftover;
      }
      if (best >= 0) committed[best] = addResources(committed[best]!, amount);
      return best;
    },
    release(worker, amount) {
      committed[worker] = subtractResources(committed[worker]!, amount);
    },
  };
}

/** Best fit among a few workers drawn at random. */
export function createSamplingPlacer(
  capacities: readonly Resources[],
  random: Random,
): ComparedPlacer {
  return createBestFitPlacer(
    capacities,
    () =>
      Array.from(
        { length: SAMPLES_PER_DECISION },
        () => random.nextInt(capacities.length),
      ),
  );
}

/** Best fit over every worker; its cost grows with the fleet. */
export function createScanPlacer(
  capacities: readonly Resources[],
): ComparedPlacer {
  const allWorkers = capacities.map((_capacity, number) => number);
  return createBestFitPlacer(capacities, () => allWorkers);
}
