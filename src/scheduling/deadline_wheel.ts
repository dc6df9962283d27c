/**
 * Pending deadlines in time buckets. Adding takes constant time and a step reads
 * only the due buckets, so 350,000 leases need no scan.
 */

/** A set of items with a deadline each. */
export interface DeadlineWheel<Item> {
  add(deadlineMs: number, item: Item): void;
  /** Removes and returns the items whose deadline has passed; never early, and at most one bucket late. */
  takeDue(nowMs: number): Item[];
}

const BUCKET_MS = 20;

/** Creates an empty wheel. */
export function createDeadlineWheel<Item>(): DeadlineWheel<Item> {
  const buckets = new Map<number, Item[]>();
  let lastTakenBucket = -Infinity;

  function listDueBuckets(lastBucket: number): number[] {
    const span = lastBucket - lastTakenBucket;
    if (span > buckets.size) {
      return [...buckets.keys()].filter((bucket) => bucket <= lastBucket)
        .sort((a, b) => a - b);
    }
    const due: number[] = [];
    for (let bucket = lastTakenBucket + 1; bucket <= lastBucket; bucket++) {
      if (buckets.has(bucket)) due.push(bucket);
    }
    return due;
  }

  return {
    add(deadlineMs, item) {
      const bucket = Math.max(
        Math.ceil(deadlineMs / BUCKET_MS),
        lastTakenBucket + 1,
      );
      const items = buckets.get(bucket);
      if (items === undefined) buckets.set(bucket, [item]);
      else items.push(item);
    },
    takeDue(nowMs) {
      const lastBucket = Math.floor(nowMs / BUCKET_MS);
      if (lastBucket <= lastTakenBucket) return [];
      const due: Item[] = [];
      for (const bucket of listDueBuckets(lastBucket)) {
        for (const item of buckets.get(bucket) ?? []) due.push(item);
        buckets.delete(bucket);
      }
      lastTakenBucket = lastBucket;
      return due;
    },
  };
}
