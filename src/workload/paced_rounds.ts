/**
 * Runs rounds of work on request, one at a time and with a pause between them.
 * A round that takes long makes the next pause longer, so that many waiting
 * tasks cannot keep the process from its looks, calls and pulses.
 */

import type { Clock } from "../common/mod.ts";

/** Pause after a round as a multiple of its duration: rounds take a quarter of a core at most. */
const PAUSE_FACTOR = 3;

/** Options of the rounds. */
export interface PacedRoundsOptions {
  clock: Clock;
  /** Shortest time between a request and its round, in milliseconds. */
  periodMs: number;
  runRound: () => void;
}

/** Rounds on request. */
export interface PacedRounds {
  /** Asks for a round; requests before it begins share one. */
  request(): void;
  stop(): void;
}

/** Creates the rounds; the first one waits for a request. */
export function createPacedRounds(options: PacedRoundsOptions): PacedRounds {
  const { clock, periodMs } = options;
  let isRequested = false;
  let isStopped = false;
  let notBeforeMs = 0;

  function runRound(): void {
    isRequested = false;
    if (isStopped) return;
    const startMs = clock.now();
    options.runRound();
    const endMs = clock.now();
    notBeforeMs = endMs + PAUSE_FACTOR * (endMs - startMs);
  }

  return {
    request() {
      if (isRequested || isStopped) return;
      isRequested = true;
      const pauseMs = Math.max(periodMs, notBeforeMs - clock.now());
      clock.setTimer(pauseMs, runRound);
    },
    stop() {
      isStopped = true;
    },
  };
}
