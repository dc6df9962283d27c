/**
 * Registers the runners that announce themselves, and records what changes in later
 * announcements. A new incarnation replaces the former ones with its id or address. An
 * announcement may arrive late, when a newer one or a newer incarnation is known.
 */

import {
  type Clock,
  computeSmallerResources,
  isSameAmount,
  type Logger,
} from "../common/mod.ts";
import type { Closings } from "./closings.ts";
import { updateColdTime } from "./cold_runners.ts";
import type { RecordQueue } from "./record_queue.ts";
import type { RunnerSessions, Session } from "./runner_sessions.ts";
import {
  estimateRunnerClock,
  isInFlight,
  type Runner,
} from "./runner_table.ts";
import { formatIncarnation, isSameRunner, type RunnerEntry } from "./types.ts";
import type { Withdrawals } from "./withdrawals.ts";
import type { WorkState } from "./work_state.ts";

/**
 * Age of an announcement up to which it may enlarge the capacity, in milliseconds. By
 * then a runner has sent its next one, and a shrink in it does not count yet: that
 * takes its contact time of 3 s and one heartbeat of 1.5 s.
 */
const MAX_GROWTH_DELAY_MS = 2_000;

/** An announcement that a runner sends. */
export interface RunnerAnnouncement {
  readonly entry: RunnerEntry;
  /** Increases with each announcement of one incarnation. */
  readonly sequence: number;
  /** Minimum time until a draining runner leaves, in milliseconds. */
  readonly remainingMs: number;
  /** Time of the runner's own clock when it was sent, in milliseconds; undefined if unknown. */
  readonly clockMs?: number;
  /** Time for which the runner remains slow after its start, in milliseconds. Default 0. */
  readonly coldMs?: number;
}

/** Options of the announcements. */
export interface RunnerAnnouncementsOptions {
  clock: Clock;
  logger: Logger;
  state: Pick<WorkState, "getRunner" | "getGoneMs" | "hasDrained">;
  queue: Pick<RecordQueue, "record">;
  runnerSessions: RunnerSessions;
  withdrawals: Pick<Withdrawals, "start">;
  closings: Pick<Closings, "closedMs" | "stopUnsettled" | "closeIncarnation">;
  /** Begins to use an incarnation; `leaseEndMs` is the local time at which its lease ends. */
  startSession: (
    entry: RunnerEntry,
    leaseEndMs: number,
    options: { fence: number },
  ) => Session;
  /** Tells whether orders that were sent by a recorded wall time may still be on their way. */
  isJustRecorded: (atMs: number | undefined) => boolean;
  /** Creates a fencing token that is higher than all earlier ones. */
  createFencingToken: () => number;
  /** Called when free capacity or waiting tasks may have changed. */
  handleChange: () => void;
}

/** Handles the announcements during one leadership. */
export interface RunnerAnnouncements {
  announceRunner(announcement: RunnerAnnouncement): Promise<void>;
  /** Uses the applied record of a runner, unless a newer announcement is being recorded. */
  applyRunner(id: string): void;
  /** Makes announcements that are being recorded register no runner any more. */
  stop(): void;
}

/** Creates the handling of announcements. */
export function createRunnerAnnouncements(
  options: RunnerAnnouncementsOptions,
): RunnerAnnouncements {
  const { clock, logger, state, withdrawals, startSession, isJustRecorded } =
    options;
  const { sessions, findSessionById } = options.runnerSessions;
  const { closedMs, stopUnsettled, closeIncarnation } = options.closings;
  /** Local time of the announcement of each incarnation whose record failed, but may be applied all the same, in milliseconds. */
  const unconfirmed = new Map<string, number>();
  let isStopped = false;

  /** Tells whether a newer runner has taken over the id or the address, so that an announcement is late. */
  function hasNewerRunner({ id, address, startedMs }: RunnerEntry): boolean {
    // A closed one stays recorded while it has unsettled runs.
    const recorded = state.getRunner(id);
    if (recorded !== undefined && recorded.startedMs > startedMs) return true;
    return [...sessions.values()].some(({ runner: { entry } }) =>
      (entry.id === id || entry.address === address) &&
      entry.startedMs > startedMs
    );
  }

  /**
   * Tells whether a newer announcement of an incarnation without a session was recorded:
   * it stays recorded while it has unsettled runs, and it drains until it ends.
   */
  function isOutdated(entry: RunnerEntry, sequence: number): boolean {
    const life = formatIncarnation(entry);
    if (!entry.isDraining && state.hasDrained(life)) return true;
    const recorded = state.getRunner(entry.id);
    // If its start is unknown, its next incarnation has the same key.
    return recorded !== undefined && entry.startedMs !== 0 &&
      formatIncarnation(recorded) === life &&
      (recorded.sequence ?? -1) > sequence;
  }

  /**
   * Tells whether an announcement was delayed for so long that newer ones must have
   * been sent. This leader sees none that are like the recorded one, so the sequence
   * numbers do not tell.
   */
  function isLateAnnouncement(
    runner: Runner,
    { clockMs }: RunnerAnnouncement,
  ): boolean {
    if (clockMs === undefined) return false;
    const runnerMs = estimateRunnerClock(runner, clock.now());
    // Without a reading, nothing is placed on the runner anyway.
    return runnerMs === undefined || runnerMs - clockMs > MAX_GROWTH_DELAY_MS;
  }

  /**
   * Uses the recorded entry of a runner: registers an incarnation whose record was
   * applied although the reply to it was lost, and changes a registered one once the
   * entry matches its newest announcement.
   */
  function applyRunner(id: string): void {
    const recorded = state.getRunner(id);
    if (isStopped || recorded === undefined) return;
    const life = formatIncarnation(recorded);
    const announcedMs = unconfirmed.get(life);
    unconfirmed.delete(life);
    const runner = findSessionById(id)?.runner;
    if (announcedMs !== undefined && runner?.life !== life) {
      openRunner(recorded, announcedMs);
    } else if (
      runner !== undefined && isSameRunner(recorded, runner.announced)
    ) {
      runner.entry = recorded;
    }
  }

  /** Records what a known incarnation newly announces; a late growth is left out. */
  async function updateRunner(
    runner: Runner,
    announcement: RunnerAnnouncement,
  ): Promise<void> {
    const { sequence } = announcement;
    if (sequence < runner.sequence) return;
    runner.sequence = sequence;
    updateColdTime(runner, announcement.coldMs, clock.now());
    const entry = isLateAnnouncement(runner, announcement)
      ? {
        ...announcement.entry,
        capacity: computeSmallerResources(
          runner.entry.capacity,
          announcement.entry.capacity,
        ),
      }
      : announcement.entry;
    const recorded = state.getRunner(entry.id);
    const isRecorded = recorded !== undefined && isSameRunner(recorded, entry);
    if (isRecorded && isSameRunner(runner.entry, entry)) return;
    const former = runner.entry.capacity;
    // A shrink counts at once, but a growth only once the next leader knows it:
    // otherwise that one could find more in use than there is capacity.
    const capacity = computeSmallerResources(former, entry.capacity);
    runner.entry = { ...entry, capacity };
    runner.announced = entry;
    if (entry.isDraining) runner.drainingSinceMs ??= clock.now();
    if (!isRecorded) {
      const isSameLife = recorded !== undefined &&
        formatIncarnation(recorded) === runner.life;
      const returnedMs = isSameLife ? recorded.returnedMs : undefined;
      await options.queue.record([{
        kind: "runner",
        runner: { ...entry, sequence, returnedMs },
      }]);
    }
    applyRunner(entry.id);
    logger.info("Runner changed", {
      runner: runner.life,
      draining: entry.isDraining,
      ...(isSameAmount(former, entry.capacity)
        ? {}
        : { formerCapacity: former, capacity: entry.capacity }),
    });
    options.handleChange();
  }

  async function announceRunner(
    announcement: RunnerAnnouncement,
  ): Promise<void> {
    const { entry, sequence } = announcement;
    const life = formatIncarnation(entry);
    const announcedMs = clock.now();
    const known = findSessionById(entry.id);
    if (known?.runner.life === life) {
      return await updateRunner(known.runner, announcement);
    }
    if (hasNewerRunner(entry)) return;
    if (isOutdated(entry, sequence)) {
      logger.info("Late announcement ignored", { runner: life, sequence });
      return;
    }
    const mayReplaceOther = known !== undefined ||
      isInFlight(closedMs.get(entry.id), announcedMs) ||
      isJustRecorded(state.getGoneMs(entry.id));
    if (mayReplaceOther) withdrawals.start(entry);
    const returnedMs = mayReplaceOther ? clock.wallTime() : undefined;
    const recorded = { ...entry, sequence, returnedMs };
    try {
      await options.queue.record([{ kind: "runner", runner: recorded }]);
    } catch (error) {
      // Once the record is applied, announcements equal it and do not reach this leader.
      unconfirmed.set(life, announcedMs);
      applyRunner(entry.id);
      throw error;
    }
    if (isStopped) return;
    const registered = sessions.get(life);
    if (registered !== undefined) {
      // Another announcement has registered it meanwhile.
      return await updateRunner(registered.runner, announcement);
    }
    openRunner(recorded, announcedMs);
    const opened = sessions.get(life)?.runner;
    if (opened !== undefined) {
      updateColdTime(opened, announcement.coldMs, announcedMs);
    }
  }

  /** Begins to use a recorded incarnation that has announced itself at `announcedMs`. */
  function openRunner(entry: RunnerEntry, announcedMs: number): void {
    if (hasNewerRunner(entry)) return;
    logger.info("Runner registered", {
      runner: formatIncarnation(entry),
      address: entry.address,
      pool: entry.pool,
    });
    const session = startSession(entry, announcedMs, {
      fence: options.createFencingToken(),
    });
    session.runner.mayHoldFormerLease = entry.returnedMs !== undefined ||
      isInFlight(closedMs.get(entry.id), announcedMs);
    stopUnsettled(session);
    for (const other of [...sessions.values()]) {
      const { runner } = other;
      const isFormer = runner !== session.runner &&
        (runner.entry.id === entry.id ||
          runner.entry.address === entry.address) &&
        runner.entry.startedMs <= entry.startedMs;
      if (!isFormer) continue;
      const mayReturn = runner.entry.id === entry.id;
      void closeIncarnation(other, "newer incarnation registered", {
        mayReturn,
        hasCrashed: true,
      });
    }
  }

  return {
    announceRunner,
    applyRunner,
    stop() {
      isStopped = true;
    },
  };
}
