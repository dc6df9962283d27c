/**
 * Time for all decision code. Nothing that decides reads the system clock
 * itself: it is given a `Clock`, so that tests can advance time by hand and
 * so that a pause of the process shows up as one jump.
 */

/** A pending callback. */
export interface Timer {
  /** Stops the callback from running. Calling it again has no effect. */
  cancel(): void;
}

/** A source of time. */
export interface Clock {
  /** Monotonic time in milliseconds from an arbitrary origin. */
  now(): number;
  /** Wall-clock time in milliseconds since the Unix epoch. */
  wallTime(): number;
  /** Runs `callback` once, at least `delayMs` milliseconds from now. */
  setTimer(delayMs: number, callback: () => void): Timer;
}

/** A clock that only moves when told to. */
export interface ManualClock extends Clock {
  /** Moves time forward by `ms` and runs every timer that falls due, in order. */
  advance(ms: number): void;
}

/** Creates the clock of the operating system. Its timers do not keep the process alive. */
export function createSystemClock(): Clock {
  return {
    now: () => performance.now(),
    wallTime: () => Date.now(),
    setTimer(delayMs, callback) {
      const handle = setTimeout(callback, Math.max(0, delayMs));
      handle.unref();
      return { cancel: () => clearTimeout(handle) };
    },
  };
}

/** Resolves after `ms` milliseconds of the clock. */
export function wait(clock: Clock, ms: number): Promise<void> {
  return new Promise((resolve) => void clock.setTimer(ms, resolve));
}

interface ManualTimer {
  dueMs: number;
  order: number;
  callback: () => void;
}

/** Creates a clock for tests that starts at `startMs` milliseconds. */
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
