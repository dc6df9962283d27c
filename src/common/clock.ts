/**
 * Clocks for all decision code. Decision code never reads the system clock
 * directly but takes a `Clock`. Tests can then advance time manually, and a
 * pause of the process appears as a single jump.
 */

/** A scheduled callback. */
export interface Timer {
  /** Cancels the callback. Calling it again has no effect. */
  cancel(): void;
}

/** A source of time. */
export interface Clock {
  /** Monotonic time in milliseconds from an arbitrary origin. */
  now(): number;
  /** Wall-clock time in milliseconds since the Unix epoch. */
  wallTime(): number;
  /** Runs `callback` once, after at least `delayMs` milliseconds. */
  setTimer(delayMs: number, callback: () => void): Timer;
}

/** A clock for tests that advances only through `advance`. */
export interface ManualClock extends Clock {
  /** Advances time by `ms` milliseconds and runs the timers due by then, in order of due time. */
  advance(ms: number): void;
}

/** Longest delay of a timer in milliseconds; Node.js turns longer ones into 1 ms. */
const MAX_TIMER_MS = 2 ** 31 - 1;

/** Creates a clock on system time. Its timers do not keep the process alive. */
export function createSystemClock(): Clock {
  return {
    now: () => performance.now(),
    wallTime: () => Date.now(),
    setTimer(delayMs, callback) {
      const handle = setTimeout(
        callback,
        Math.min(MAX_TIMER_MS, Math.max(0, delayMs)),
      );
      handle.unref();
      return { cancel: () => clearTimeout(handle) };
    },
  };
}

/** Resolves after `ms` milliseconds on `clock`. */
export function wait(clock: Clock, ms: number): Promise<void> {
  return new Promise((resolve) => void clock.setTimer(ms, resolve));
}

interface ManualTimer {
  dueMs: number;
  order: number;
  callback: () => void;
}

/** Creates a manual clock that starts at `startMs` milliseconds. */
export function createManualClock(startMs = 0): ManualClock {
  let nowMs = startMs;
  let nextOrder = 0;
  const timers = new Set<ManualTimer>();

  function takeNextDue(untilMs: number): ManualTimer | undefined {
    let first: ManualTimer | undefined;
    for (const timer of timers) {
      if (timer.dueMs > untilMs) continue;
      const isEarlier = first === undefined || timer.dueMs < first.dueMs ||
        (timer.dueMs === first.dueMs && timer.order < first.order);
      if (isEarlier) first = timer;
    }
    if (first !== undefined) timers.delete(first);
    return first;
  }

  return {
    now: () => nowMs,
    wallTime: () => nowMs,
    setTimer(delayMs, callback) {
      const timer: ManualTimer = {
        dueMs: nowMs + Math.max(0, delayMs),
        order: nextOrder++,
        callback,
      };
      timers.add(timer);
      return { cancel: () => void timers.delete(timer) };
    },
    advance(ms) {
      const untilMs = nowMs + ms;
      for (
        let timer = takeNextDue(untilMs);
        timer !== undefined;
        timer = takeNextDue(untilMs)
      ) {
        nowMs = Math.max(nowMs, timer.dueMs);
        timer.callback();
      }
      nowMs = untilMs;
    },
  };
}
