/**
 * The tick timer of a log member. After a busy phase or a suspension, a process
 * finds its timer due before it has read the messages received meanwhile. It
 * would take the leader for unresponsive although its heartbeats are queued. A
 * late tick is therefore deferred once, until the messages have been read.
 */

import type { Clock } from "../common/mod.ts";

/** Timer delay in milliseconds above which the process cannot have run; far above usual timer jitter. */
const LATE_THRESHOLD_MS = 50;

/** Deferral of a late tick in milliseconds; one turn of the event loop reads the messages. */
const DEFERRAL_MS = 1;

/** Options of `startTickTimer`. */
export interface TickTimerOptions {
  clock: Clock;
  /** Returns the time until the next tick in milliseconds. */
  getDelayMs: () => number;
  /** Returns false if a late tick must not be deferred. */
  canDefer: () => boolean;
  runTick: () => void;
}

/** A running tick timer. */
export interface TickTimer {
  cancel(): void;
}

/** Starts a tick timer; the first tick has no delay. */
export function startTickTimer(options: TickTimerOptions): TickTimer {
  const { clock } = options;
  let wasDeferred = false;
  let isCancelled = false;
  let timer = setNextTimer(0);

  function setNextTimer(delayMs: number) {
    const dueMs = clock.now() + delayMs;
    return clock.setTimer(delayMs, () => handleTimer(dueMs));
  }

  function handleTimer(dueMs: number): void {
    const isLate = clock.now() - dueMs > LATE_THRESHOLD_MS;
    if (isLate && !wasDeferred && options.canDefer()) {
      wasDeferred = true;
      timer = setNextTimer(DEFERRAL_MS);
      return;
    }
    wasDeferred = false;
    options.runTick();
    if (!isCancelled) timer = setNextTimer(options.getDelayMs());
  }

  return {
    cancel() {
      isCancelled = true;
      timer.cancel();
    },
  };
}
