/**
 * Placement by an index of free resources. Workers with about the same free
 * amounts share a bucket; a decision looks at the buckets, of which there are
 * at most a few hundred, and not at the workers.
 */

import {
  addResources,
  fitsWithin,
  NO_RESOURCES,
  type Random,
  type Resources,
  subtractResources,
} from "../common/mod.ts";

/** A worker as the placer sees it. Change it only through the placer. */
export interface PlacerWorker {
  readonly id: string;
  readonly rack: string;
  readonly capacity: Resources;
  readonly committed: Resources;
  /** Estimated usage above the committed amounts; it is kept free. */
  readonly excessUsage: Resources;
  readonly accepting: boolean;
}

/** What is asked of the placer. */
export interface PlacementRequest {
  readonly resources: Resources;
  /** "pack" leaves the least behind; "spread" prefers racks with few of the job's tasks. */
  readonly strategy: "pack" | "spread";
  /** Number of tasks of the same job in a rack, for "spread". */
  readonly countInRack?: (rack: string) => number;
  /** Identifier of a worker that is not used, such as the one where the task just failed. */
  readonly avoid?: string;
}

/** Keeps what is committed on each worker and picks workers for tasks. */
export interface Placer {
  addWorker(
    worker: { id: string; rack: string; capacity: Resources },
  ): PlacerWorker;
  removeWorker(worker: PlacerWorker): void;
  setCapacity(worker: PlacerWorker, capacity: Resources): void;
  setExcessUsage(worker: PlacerWorker, excessUsage: Resources): void;
  setAccepting(worker: PlacerWorker, accepting: boolean): void;
  /** Commits `amount`; returns false, and changes nothing, when it does not fit. */
  commit(worker: PlacerWorker, amount: Resources): boolean;
  /** Counts what already runs, such as after a takeover, without a check. */
  record(worker: PlacerWorker, amount: Resources): void;
  release(worker: PlacerWorker, amount: Resources): void;
  /** Picks a worker that accepts work and has room; nothing is committed yet. */
  place(request: PlacementRequest): PlacerWorker | undefined;
}

/** Settings of a placer. */
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
  /** The least that any worker of the bucket has free. */
  readonly lowerBound: Resources;
  /** An upper bound, not reached, on what any worker of the bucket has free. */
  readonly upperBound: Resources;
  readonly entries: Entry[];
  /** Position in the list of buckets that are not empty; -1 for none. */
  position: number;
}

const LEVELS_PER_OCTAVE = 2;
const LEVEL_COUNT = 31 * LEVELS_PER_OCTAVE + 1;
const MAX_AMOUNT = 2 ** 30;
// Probes for "pack" in one bucket; eight make the choice close to the best of the bucket.
const PACK_PROBES = 8;
// A cell of the size of today's is looked at as a whole for "spread".
const SMALL_CELL_WORKERS = 64;
// Probes for "spread" in a larger cell, where they fall into about as many racks.
const SPREAD_PROBES = 24;
// Probes of workers in buckets that may or may not have room, before the request waits.
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

/** Returns what is free on `worker`; amounts are negative when it is overcommitted. */
export function computeFree(worker: PlacerWorker): Resources {
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

/** Creates a placer without workers. */
export function createPlacer(options: PlacerOptions): Placer {
  const { random } = options;
  const bucketsByKey = new Map<number, Bucket>();
  const nonEmptyBuckets: Bucket[] = [];
  let total: Resources = NO_RESOURCES;

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
    const free = computeFree(entry);
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

  /** The part of the fleet that stays unused on a worker with `free`; accelerators weigh most, as the scarcest. */
  function computeLeftover(free: Resources, wanted: Resources): number {
    return (free.processors - wanted.processors) / (total.processors || 1) +
      (free.memoryMb - wanted.memoryMb) / (total.memoryMb || 1) +
      4 * (free.accelerators - wanted.accelerators) / (total.accelerators || 1);
  }

  /** Accelerators that the request has no use for, so that such workers are taken last. */
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
      const free = computeFree(entry);
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
      const free = computeFree(entry);
      if (!fitsWithin(request.resources, free)) continue;
      const inRack = request.countInRack?.(entry.rack) ?? 0;
      // The rack decides; waste and room only break ties, as both stay below one.
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
   * Tries the bucket that would leave the least behind first, even when it does
   * not promise room, as the last gap of a worker is always in such a bucket.
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

  /** Looks where a worker may have room although its bucket does not promise it. */
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
      if (!fitsWithin(amount, computeFree(worker))) return false;
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
  };
}
