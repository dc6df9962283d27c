/** Measures the latency of a placement decision by fleet size, for the library's index and its alternatives. */

import {
  createSeededRandom,
  type Random,
  type Resources,
} from "../../src/common/mod.ts";
import {
  type ComparedPlacer,
  createIndexPlacer,
  createSamplingPlacer,
  createScanPlacer,
} from "./placers.ts";

/** Measurements of one placement algorithm at one fleet size. */
export interface PlacementResult {
  /** Placement algorithm: `index`, `sampling` or `scan`. */
  readonly way: string;
  readonly workers: number;
  readonly p50Us: number;
  readonly p99Us: number;
  /** Fraction of the decisions that found no worker although one had enough free capacity. */
  readonly missed: number;
  /** Fraction of the processors committed when a decision first finds no worker. */
  readonly filled: number;
}

const FILL_FRACTION = 0.9;
const DECISIONS = 20_000;
// A scan of 25,000 workers is slow, so fewer decisions are measured.
const SCAN_DECISIONS = 400;

/** Builds worker capacities like those of both users; one worker in five has accelerators. */
export function buildCapacities(count: number): Resources[] {
  return Array.from({ length: count }, (_, number) => {
    const isLarge = number % 2 === 1;
    return {
      processors: isLarge ? 32_000 : 16_000,
      memoryMb: isLarge ? 131_072 : 65_536,
      accelerators: number % 5 === 0 ? 6 : 0,
    };
  });
}

/** Builds a task size from a quarter of a core to eight cores; memory is independent of it. */
export function buildSize(random: Random): Resources {
  const processors = 250 * 2 ** random.nextInt(6);
  const memoryMb = 256 * (1 + random.nextInt(48));
  const accelerators = random.nextInt(20) === 0 ? 1 : 0;
  return { processors, memoryMb, accelerators };
}

/** Returns the quantile of unsorted values for `part` from 0 to 1; 0 when there are none. */
export function computeQuantile(
  values: readonly number[],
  part: number,
): number {
  if (values.length === 0) return 0;
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.min(sorted.length - 1, Math.floor(part * sorted.length))]!;
}

function measureFill(
  placer: ComparedPlacer,
  total: number,
  random: Random,
): { filled: number; held: { worker: number; size: Resources }[] } {
  const held: { worker: number; size: Resources }[] = [];
  let used = 0;
  while (true) {
    const size = buildSize(random);
    const worker = placer.place(size);
    if (worker < 0) return { filled: used / total, held };
    held.push({ worker, size });
    used += size.processors;
  }
}

function measurePlacer(
  way: string,
  workers: number,
  seed: number,
): PlacementResult {
  const random = createSeededRandom(seed);
  const capacities = buildCapacities(workers);
  const total = capacities.reduce((sum, { processors }) => sum + processors, 0);
  const create = () =>
    way === "index"
      ? createIndexPlacer(capacities, random)
      : way === "sampling"
      ? createSamplingPlacer(capacities, random)
      : createScanPlacer(capacities);
  const decisions = way === "scan" ? SCAN_DECISIONS : DECISIONS;
  // Filling 25,000 workers by scans takes minutes, so the scan starts with only 200 placements.
  const isSlow = way === "scan" && workers > 1_000;
  const { filled } = isSlow
    ? { filled: NaN }
    : measureFill(create(), total, createSeededRandom(seed));

  const placer = create();
  const held: { worker: number; size: Resources }[] = [];
  let used = 0;
  const fillDecisions = isSlow ? 200 : Infinity;
  for (let count = 0; used < FILL_FRACTION * total && count < fillDecisions;) {
    const size = buildSize(random);
    const worker = placer.place(size);
    count++;
    if (worker < 0) break;
    held.push({ worker, size });
    used += size.processors;
  }
  const times: number[] = [];
  let missed = 0;
  for (let decision = 0; decision < decisions; decision++) {
    const position = random.nextInt(held.length);
    const leaving = held[position]!;
    held[position] = held[held.length - 1]!;
    held.pop();
    placer.release(leaving.worker, leaving.size);
    // The released size still fits on its worker, so a failed placement is a miss.
    const { size } = leaving;
    const before = performance.now();
    let worker = placer.place(size);
    times.push(1_000 * (performance.now() - before));
    if (worker < 0) {
      missed++;
      while (worker < 0) worker = placer.place(size);
    }
    held.push({ worker, size });
  }
  return {
    way,
    workers,
    p50Us: computeQuantile(times, 0.5),
    p99Us: computeQuantile(times, 0.99),
    missed: missed / decisions,
    filled,
  };
}

/** Measures each placement algorithm at each fleet size. */
export function measurePlacement(
  sizes: readonly number[],
  seed: number,
): PlacementResult[] {
  return sizes.flatMap((workers) =>
    ["index", "sampling", "scan"].map((way) =>
      measurePlacer(way, workers, seed)
    )
  );
}
