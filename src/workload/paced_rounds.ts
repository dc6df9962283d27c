/**
 * Runs rounds of work on request, one at a time and with a pause in between. The
 * pause grows with the duration of a round, so that planning many waiting tasks
 * cannot starve polls, calls and heartbeats.
 */

import type { Clock } from "../common/mod.ts";

/** Pause after a round as a multiple of its duration; limits rounds to a quarter of a core. */
const PAUSE_FACTOR = 3;

/** Options of the rounds. */
export interface PacedRoundsOptions {
  clock: Clock;
  /** Minimum time between a request and its round, in milliseconds. */
  periodMs: number;
  runRound: () => void;
  /** Takes the time by which a round began late, in milliseconds. Default: none. */
  recordLateness?: (lateMs: number) => void;
}

/** Runs rounds on request. */
export interface PacedRounds {
  /** Requests a round; requests before it starts share it. */
  request(): void;
  stop(): void;
}

/** Creates paced rounds; none runs before the first request. */
export function createPacedRounds(options: PacedRoundsOptions): PacedRounds {
  const { clock, periodMs } = options;
  let isRequested = false;
  let isStopped = false;
  let notBeforeMs = 0;

  function runRound(dueMs: number): void {
    isRequested = false;
    if (isStopped) return;
    const startMs = clock.now();
    options.recordLateness?.(startMs - dueMs);
    options.runRound();
    const endMs = clock.now();
    notBeforeMs = endMs + PAUSE_FACTOR * (endMs - startMs);
  }

  return {
    request() {
      if (isRequested || isStopped) return;
      isRequested = true;
      const nowMs = clock.now();
      const pauseMs = Math.max(periodMs, notBeforeMs - nowMs);
      clock.setTimer(pauseMs, () => runRound(nowMs + pauseMs));
    },
    stop() {
      isStopped = true;
    },
  };
}
