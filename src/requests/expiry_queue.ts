/**
 * A queue of values with expiry times: a binary heap with a single timer. One
 * timer per queued request would cost a timer operation on every acquire and
 * release, and a manual clock searches all timers on each step.
 */

import type { Clock, Timer } from "../common/mod.ts";

/** A value and its expiry time. */
export interface ExpiryEntry<T> {
  readonly dueMs: number;
  readonly value: T;
  /** Position in the heap, -1 once removed or expired; maintained by the queue. */
  position: number;
}

/** Options of an expiry queue. */
export interface ExpiryQueueOptions<T> {
  clock: Clock;
  /** Called once for each expired value. */
  onExpire: (value: T) => void;
}

/** A queue ordered by expiry time. */
export interface ExpiryQueue<T> {
  /** Adds a value that expires when the clock reaches `dueMs`. */
  add(dueMs: number, value: T): ExpiryEntry<T>;
  /** Removes an entry; returns false if it has already expired or been removed. */
  remove(entry: ExpiryEntry<T>): boolean;
  /** Returns the number of pending values. */
  getSize(): number;
  /** Removes all values without calling `onExpire`. */
  stop(): void;
}

/** Creates an empty expiry queue. */
export function createExpiryQueue<T>(
  options: ExpiryQueueOptions<T>,
): ExpiryQueue<T> {
  const { clock, onExpire } = options;
  const heap: ExpiryEntry<T>[] = [];
  let timer: Timer | undefined;
  let timerDueMs = Infinity;

  function place(entry: ExpiryEntry<T>, position: number): void {
    heap[position] = entry;
    entry.position = position;
  }

  function updateUpwards(entry: ExpiryEntry<T>, start: number): void {
    let position = start;
    while (position > 0) {
      const parentPosition = (position - 1) >> 1;
      const parent = heap[parentPosition];
      if (parent === undefined || parent.dueMs <= entry.dueMs) break;
      place(parent, position);
      position = parentPosition;
    }
    place(entry, position);
  }

  function updateDownwards(entry: ExpiryEntry<T>, start: number): void {
    let position = start;
    for (;;) {
      const left = heap[2 * position + 1];
      const right = heap[2 * position + 2];
      let child = left;
      if (right !== undefined && left !== undefined) {
        child = right.dueMs < left.dueMs ? right : left;
      }
      if (child === undefined || child.dueMs >= entry.dueMs) break;
      const childPosition = child.position;
      place(child, position);
      position = childPosition;
    }
    place(entry, position);
  }

  function remove(entry: ExpiryEntry<T>): boolean {
    const position = entry.position;
    if (position < 0) return false;
    entry.position = -1;
    const last = heap.pop();
    if (last !== undefined && last !== entry) {
      updateUpwards(last, position);
      if (last.position === position) updateDownwards(last, position);
    }
    return true;
  }

  function setNextTimer(): void {
    const dueMs = heap[0]?.dueMs ?? Infinity;
    // An early timer is harmless, so replace it only for an earlier due time.
    if (dueMs >= timerDueMs) return;
    timer?.cancel();
    timerDueMs = dueMs;
    timer = clock.setTimer(dueMs - clock.now(), runDue);
  }

  function runDue(): void {
    timerDueMs = Infinity;
    // System timers may fire a fraction of a millisecond early.
    for (
      let first = heap[0];
      first !== undefined && first.dueMs <= clock.now();
      first = heap[0]
    ) {
      remove(first);
      onExpire(first.value);
    }
    setNextTimer();
  }

  return {
    add(dueMs, value) {
      const entry: ExpiryEntry<T> = { dueMs, value, position: -1 };
      updateUpwards(entry, heap.length);
      setNextTimer();
      return entry;
    },
    remove,
    getSize: () => heap.length,
    stop() {
      for (const entry of heap) entry.position = -1;
      heap.length = 0;
      timer?.cancel();
      timer = undefined;
      timerDueMs = Infinity;
    },
  };
}
