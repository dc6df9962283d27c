/** Placement algorithms to compare: the library's index, random sampling and a full scan. */

import {
  addResources,
  fitsWithin,
  NO_RESOURCES,
  type Random,
  type Resources,
  subtractResources,
} from "../../src/common/mod.ts";
import { createPlacer } from "../../src/scheduling/mod.ts";

/** The placer interface of the comparison; workers are identified by their index. */
export interface ComparedPlacer {
  /** Picks a worker and commits the amount on it; returns -1 when none was found. */
  place(amount: Resources): number;
  release(worker: number, amount: Resources): void;
}

// As many workers as a decision can examine in a few microseconds.
const SAMPLES_PER_DECISION = 16;

function computeLeftover(free: Resources, amount: Resources): number {
  return (free.processors - amount.processors) / 1_000 +
    (free.memoryMb - amount.memoryMb) / 4_096 +
    8 * (free.accelerators - amount.accelerators);
}

/** Creates a placer that uses the library's index by free resources. */
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

/** Creates a placer that picks the best fit among 16 workers sampled at random. */
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

/** Creates a placer that picks the best fit among all workers; its cost grows linearly with the fleet. */
export function createScanPlacer(
  capacities: readonly Resources[],
): ComparedPlacer {
  const allWorkers = capacities.map((_capacity, number) => number);
  return createBestFitPlacer(capacities, () => allWorkers);
}
