/**
 * The timer of a log member. A process that was busy or suspended finds its timer
 * due before it has read what arrived meanwhile, and would take a leader for
 * silent whose heartbeats wait in its own queues. A late tick therefore waits once
 * more, until those have been read.
 */

import type { Clock } from "../common/mod.ts";

/** Lateness of a timer that shows that the process did not run, in milliseconds; far above what a timer is late by itself. */
const LATE_MS = 50;

/** Time for reading what has arrived, in milliseconds; a turn of the event loop. */
const READ_MS = 1;

/** Options of a timer. */
export interface TickTimerOptions {
  clock: Clock;
  /** Returns the time until the next tick in milliseconds. */
  getDelayMs: () => number;
  /** False where a late tick must not wait any longer. */
  mayWait: () => boolean;
  runTick: () => void;
}

/** A running timer. */
export interface TickTimer {
  cancel(): void;
}

/** Starts a timer; the first tick comes at once. */
export function startTickTimer(options: TickTimerOptions): TickTimer {
  const { clock } = options;
  let hasWaited = false;
  let isCancelled = false;
  let timer = setNext(0);

  function setNext(delayMs: number) {
    const dueMs = clock.now() + delayMs;
    return clock.setTimer(delayMs, () => handleTimer(dueMs));
  }

  function handleTimer(dueMs: number): void {
    const isLate = clock.now() - dueMs > LATE_MS;
    if (isLate && !hasWaited && options.mayWait()) {
      hasWaited = true;
      timer = setNext(READ_MS);
      return;
    }
    hasWaited = false;
    options.runTick();
    if (!isCancelled) timer = setNext(options.getDelayMs());
  }

  return {
    cancel() {
      isCancelled = true;
      timer.cancel();
    },
  };
}
