/**
 * Picks workers for tasks by an index of free resources. Workers with similar
 * free amounts share a bucket. A decision examines the buckets, at most a few
 * hundred, and a limited number of workers.
 */

import {
  addResources,
  fitsWithin,
  NO_RESOURCES,
  type Random,
  type Resources,
  subtractResources,
} from "../common/mod.ts";

/** A worker in the placer's index. Change it only through the placer. */
export interface PlacerWorker {
  readonly id: string;
  readonly rack: string;
  readonly capacity: Resources;
  readonly committed: Resources;
  /** Estimated usage above the committed amounts; not available for placement. */
  readonly excessUsage: Resources;
  readonly accepting: boolean;
}

/** A request to pick a worker for one task. */
export interface PlacementRequest {
  readonly resources: Resources;
  /** "pack" minimizes leftover resources; "spread" prefers racks with few of the job's tasks. */
  readonly strategy: "pack" | "spread";
  /** Returns the number of the job's tasks in a rack, for "spread". */
  readonly countInRack?: (rack: string) => number;
  /** Identifier of a worker to exclude, such as the one where the task just failed. */
  readonly avoid?: string;
}

/** Tracks the committed resources of each worker and picks workers for tasks. */
export interface Placer {
  addWorker(
    worker: { id: string; rack: string; capacity: Resources },
  ): PlacerWorker;
  removeWorker(worker: PlacerWorker): void;
  setCapacity(worker: PlacerWorker, capacity: Resources): void;
  setExcessUsage(worker: PlacerWorker, excessUsage: Resources): void;
  setAccepting(worker: PlacerWorker, accepting: boolean): void;
  /** Commits `amount`; returns false and changes nothing if it does not fit. */
  commit(worker: PlacerWorker, amount: Resources): boolean;
  /** Commits `amount` without a check, for tasks that already run, such as after a leader change. */
  record(worker: PlacerWorker, amount: Resources): void;
  release(worker: PlacerWorker, amount: Resources): void;
  /** Picks a worker that accepts work and has enough free capacity, without committing it. */
  place(request: PlacementRequest): PlacerWorker | undefined;
  /** Copies the index of the workers that accept work; picks of both are independent. */
  copy(random: Random): Placer;
}

/** Options of a placer. */
export interface PlacerOptions {
  readonly random: Random;
}

interface Entry extends PlacerWorker {
  capacity: Resources;
  committed: Resources;
  excessUsage: Resources;
  accepting: boolean;
  bucket: Bucket | undefined;
  position: number;
}

interface Bucket {
  readonly key: number;
  /** Inclusive lower bound on the free resources of the bucket's workers. */
  readonly lowerBound: Resources;
  /** Exclusive upper bound on the free resources of the bucket's workers. */
  readonly upperBound: Resources;
  readonly entries: Entry[];
  /** Position in the list of non-empty buckets; -1 if it was never in the list. */
  position: number;
}

const LEVELS_PER_OCTAVE = 2;
const LEVEL_COUNT = 31 * LEVELS_PER_OCTAVE + 1;
const MAX_AMOUNT = 2 ** 30;
// Workers examined per bucket for "pack"; with eight the choice is close to the best of the bucket.
const PACK_PROBES = 8;
// Up to this number of candidates, "spread" examines every worker; enough for current cells.
const SMALL_CELL_WORKERS = 64;
// Workers examined for "spread" in a larger cell, where they belong to about as many racks.
const SPREAD_PROBES = 24;
// Workers examined where the bucket does not guarantee enough free capacity, before the placement fails.
const MAX_FALLBACK_PROBES = 256;

function toLevel(amount: number): number {
  if (amount <= 0) return 0;
  const bounded = Math.min(amount, MAX_AMOUNT);
  const octave = 31 - Math.clz32(bounded);
  const isUpperHalf = bounded >= 1.5 * 2 ** octave;
  return 1 + LEVELS_PER_OCTAVE * octave + (isUpperHalf ? 1 : 0);
}

function toLowerBound(level: number): number {
  if (level === 0) return 0;
  const octave = Math.floor((level - 1) / LEVELS_PER_OCTAVE);
  const isUpperHalf = (level - 1) % LEVELS_PER_OCTAVE === 1;
  return Math.ceil((isUpperHalf ? 1.5 : 1) * 2 ** octave);
}

/** Returns the free resources of `worker`; amounts are negative if it is overcommitted. */
export function computeFreeResources(worker: PlacerWorker): Resources {
  const { capacity, committed, excessUsage } = worker;
  return {
    processors: capacity.processors - committed.processors -
      excessUsage.processors,
    memoryMb: capacity.memoryMb - committed.memoryMb - excessUsage.memoryMb,
    accelerators: capacity.accelerators - committed.accelerators -
      excessUsage.accelerators,
  };
}

function computeEntryCount(buckets: readonly Bucket[]): number {
  return buckets.reduce((sum, bucket) => sum + bucket.entries.length, 0);
}

/** The index of a placer. */
interface PlacerIndex {
  readonly nonEmptyBuckets: Bucket[];
  readonly total: Resources;
}

/** Copies buckets with their entries in the same order, on which picks depend. */
function buildBucketCopies(buckets: readonly Bucket[]): Bucket[] {
  return buckets.map((bucket) => {
    const copy: Bucket = { ...bucket, entries: [] };
    for (const entry of bucket.entries) {
      copy.entries.push({ ...entry, bucket: copy });
    }
    return copy;
  });
}

/** Creates a placer without workers. */
export function createPlacer(options: PlacerOptions): Placer {
  return createIndexedPlacer(options, {
    nonEmptyBuckets: [],
    total: NO_RESOURCES,
  });
}

function createIndexedPlacer(
  options: PlacerOptions,
  { nonEmptyBuckets, total: initialTotal }: PlacerIndex,
): Placer {
  const { random } = options;
  const bucketsByKey = new Map<number, Bucket>(
    nonEmptyBuckets.map((bucket) => [bucket.key, bucket]),
  );
  let total = initialTotal;

  function getBucket(free: Resources): Bucket {
    const processorLevel = toLevel(free.processors);
    const memoryLevel = toLevel(free.memoryMb);
    const key = (free.accelerators * LEVEL_COUNT + memoryLevel) * LEVEL_COUNT +
      processorLevel;
    let bucket = bucketsByKey.get(key);
    if (bucket === undefined) {
      bucket = {
        key,
        lowerBound: {
          processors: toLowerBound(processorLevel),
          memoryMb: toLowerBound(memoryLevel),
          accelerators: free.accelerators,
        },
        upperBound: {
          processors: toLowerBound(processorLevel + 1),
          memoryMb: toLowerBound(memoryLevel + 1),
          accelerators: free.accelerators + 1,
        },
        entries: [],
        position: -1,
      };
      bucketsByKey.set(key, bucket);
    }
    return bucket;
  }

  function removeFromIndex(entry: Entry): void {
    const bucket = entry.bucket;
    if (bucket === undefined) return;
    const last = bucket.entries.pop()!;
    if (last !== entry) {
      bucket.entries[entry.position] = last;
      last.position = entry.position;
    }
    entry.bucket = undefined;
    if (bucket.entries.length > 0) return;
    const lastBucket = nonEmptyBuckets.pop()!;
    if (lastBucket !== bucket) {
      nonEmptyBuckets[bucket.position] = lastBucket;
      lastBucket.position = bucket.position;
    }
    bucketsByKey.delete(bucket.key);
  }

  function updateIndex(entry: Entry): void {
    const free = computeFreeResources(entry);
    const isUsable = entry.accepting && fitsWithin(NO_RESOURCES, free);
    if (!isUsable) return removeFromIndex(entry);
    const bucket = getBucket(free);
    if (bucket === entry.bucket) return;
    removeFromIndex(entry);
    if (bucket.entries.length === 0) {
      bucketsByKey.set(bucket.key, bucket);
      bucket.position = nonEmptyBuckets.length;
      nonEmptyBuckets.push(bucket);
    }
    entry.bucket = bucket;
    entry.position = bucket.entries.length;
    bucket.entries.push(entry);
  }

  /** Returns the unused resources after a placement as fractions of the fleet; accelerators count most, as they are the scarcest. */
  function computeLeftover(free: Resources, wanted: Resources): number {
    return (free.processors - wanted.processors) / (total.processors || 1) +
      (free.memoryMb - wanted.memoryMb) / (total.memoryMb || 1) +
      4 * (free.accelerators - wanted.accelerators) / (total.accelerators || 1);
  }

  /** Returns the free accelerators that the request would not use, so that such workers are picked last. */
  function computeWastedAccelerators(
    free: Resources,
    wanted: Resources,
  ): number {
    return wanted.accelerators === 0 ? free.accelerators : 0;
  }

  function addProbes(bucket: Bucket, count: number, probes: Entry[]): void {
    const { entries } = bucket;
    const { length } = entries;
    const start = length <= count ? 0 : random.nextInt(length);
    for (let offset = 0; offset < Math.min(count, length); offset++) {
      probes.push(entries[(start + offset) % length]!);
    }
  }

  function listProbes(bucket: Bucket, count: number): Entry[] {
    if (bucket.entries.length <= count) return bucket.entries;
    const probes: Entry[] = [];
    addProbes(bucket, count, probes);
    return probes;
  }

  function pickPacked(
    entries: readonly Entry[],
    request: PlacementRequest,
  ): Entry | undefined {
    let best: Entry | undefined;
    let bestLeftover = Infinity;
    for (const entry of entries) {
      const free = computeFreeResources(entry);
      if (entry.id === request.avoid) continue;
      if (!fitsWithin(request.resources, free)) continue;
      const leftover = computeLeftover(free, request.resources);
      if (leftover >= bestLeftover) continue;
      best = entry;
      bestLeftover = leftover;
    }
    return best;
  }

  function pickSpread(
    entries: readonly Entry[],
    request: PlacementRequest,
  ): Entry | undefined {
    let best: Entry | undefined;
    let bestCost = Infinity;
    for (const entry of entries) {
      if (entry.id === request.avoid) continue;
      const free = computeFreeResources(entry);
      if (!fitsWithin(request.resources, free)) continue;
      const inRack = request.countInRack?.(entry.rack) ?? 0;
      // The rack decides; accelerators and leftover resources only break ties, as their sum stays below one.
      const wastePenalty =
        computeWastedAccelerators(free, request.resources) > 0 ? 0.5 : 0;
      const leftover = computeLeftover(free, request.resources) / 20;
      const cost = inRack + wastePenalty - Math.min(leftover, 0.4);
      if (cost >= bestCost) continue;
      best = entry;
      bestCost = cost;
    }
    return best;
  }

  /**
   * Tries the bucket with the least leftover first, even if its lower bound is
   * too small for the request: a worker with just enough free capacity is always
   * in such a bucket.
   */
  function placePacked(request: PlacementRequest): Entry | undefined {
    const wanted = request.resources;
    let guaranteed: Bucket | undefined;
    let guaranteedCost = Infinity;
    let uncertain: Bucket | undefined;
    let uncertainCost = Infinity;
    for (const bucket of nonEmptyBuckets) {
      const { upperBound } = bucket;
      const isPossible = wanted.processors < upperBound.processors &&
        wanted.memoryMb < upperBound.memoryMb &&
        wanted.accelerators < upperBound.accelerators;
      if (!isPossible) continue;
      const cost = 100 * computeWastedAccelerators(bucket.lowerBound, wanted) +
        computeLeftover(bucket.lowerBound, wanted);
      if (fitsWithin(wanted, bucket.lowerBound)) {
        if (cost >= guaranteedCost) continue;
        guaranteed = bucket;
        guaranteedCost = cost;
      } else if (cost < uncertainCost) {
        uncertain = bucket;
        uncertainCost = cost;
      }
    }
    for (
      const bucket of uncertainCost < guaranteedCost
        ? [uncertain, guaranteed]
        : [guaranteed]
    ) {
      if (bucket === undefined) continue;
      const found = pickPacked(listProbes(bucket, PACK_PROBES), request);
      if (found !== undefined) return found;
    }
    return placeByProbing(request);
  }

  function listPossibleBuckets(wanted: Resources): Bucket[] {
    return nonEmptyBuckets.filter(({ upperBound }) =>
      wanted.processors < upperBound.processors &&
      wanted.memoryMb < upperBound.memoryMb &&
      wanted.accelerators < upperBound.accelerators
    );
  }

  /** Examines workers in buckets whose lower bound is too small but whose upper bound is not. */
  function placeByProbing(request: PlacementRequest): Entry | undefined {
    let probesLeft = MAX_FALLBACK_PROBES;
    for (const bucket of listPossibleBuckets(request.resources)) {
      if (probesLeft <= 0) return undefined;
      const probes = listProbes(bucket, probesLeft);
      probesLeft -= probes.length;
      const found = pickPacked(probes, request);
      if (found !== undefined) return found;
    }
    return undefined;
  }

  function placeSpread(request: PlacementRequest): Entry | undefined {
    const wanted = request.resources;
    const possible = listPossibleBuckets(wanted);
    const isSmall = computeEntryCount(possible) <= SMALL_CELL_WORKERS;
    const buckets = isSmall
      ? possible
      : possible.filter((bucket) => fitsWithin(wanted, bucket.lowerBound));
    const count = computeEntryCount(buckets);
    const probes: Entry[] = [];
    for (const bucket of buckets) {
      const { length } = bucket.entries;
      const part = isSmall ? length : Math.ceil(SPREAD_PROBES * length / count);
      addProbes(bucket, part, probes);
    }
    const found = pickSpread(probes, request);
    return found ?? (isSmall ? undefined : placeByProbing(request));
  }

  return {
    addWorker({ id, rack, capacity }) {
      const entry: Entry = {
        id,
        rack,
        capacity,
        committed: NO_RESOURCES,
        excessUsage: NO_RESOURCES,
        accepting: true,
        bucket: undefined,
        position: -1,
      };
      total = addResources(total, capacity);
      updateIndex(entry);
      return entry;
    },
    removeWorker(worker) {
      const entry = worker as Entry;
      entry.accepting = false;
      removeFromIndex(entry);
      total = subtractResources(total, entry.capacity);
    },
    setCapacity(worker, capacity) {
      const entry = worker as Entry;
      total = addResources(subtractResources(total, entry.capacity), capacity);
      entry.capacity = capacity;
      updateIndex(entry);
    },
    setExcessUsage(worker, excessUsage) {
      (worker as Entry).excessUsage = excessUsage;
      updateIndex(worker as Entry);
    },
    setAccepting(worker, accepting) {
      (worker as Entry).accepting = accepting;
      updateIndex(worker as Entry);
    },
    commit(worker, amount) {
      if (!fitsWithin(amount, computeFreeResources(worker))) return false;
      (worker as Entry).committed = addResources(worker.committed, amount);
      updateIndex(worker as Entry);
      return true;
    },
    record(worker, amount) {
      (worker as Entry).committed = addResources(worker.committed, amount);
      updateIndex(worker as Entry);
    },
    release(worker, amount) {
      (worker as Entry).committed = subtractResources(worker.committed, amount);
      updateIndex(worker as Entry);
    },
    place(request) {
      return request.strategy === "pack"
        ? placePacked(request)
        : placeSpread(request);
    },
    copy: (newRandom) =>
      createIndexedPlacer({ random: newRandom }, {
        nonEmptyBuckets: buildBucketCopies(nonEmptyBuckets),
        total,
      }),
  };
}
