/**
 * A bounded queue that is fair between teams by weight: start-time fair
 * queueing over slot time.
 *
 * Each team has a virtual start tag. The eligible team with the lowest tag is
 * served next, and its tag rises by cost / weight. The cost is the time that a
 * slot was held: estimated when the request is taken and corrected when the
 * slot is released. Virtual time is the tag of the request taken last; a team
 * that becomes active starts there, so it neither saves credit while idle nor
 * waits for the backlog of others.
 *
 * Deficit round robin was ruled out: it needs the cost before the turn (here
 * it is known only at release) and a returning team waits for a whole round.
 * Weighted fair queueing by finish tags was ruled out for the same reason: a
 * wrong estimate decides the order before it can be corrected.
 */

import { createFault } from "../common/mod.ts";
import { createExpiryQueue, type ExpiryEntry } from "./expiry_queue.ts";
import type {
  AddOptions,
  FairQueue,
  FairQueueOptions,
  QueueEntry,
  QueueItem,
  QueuePool,
} from "./fair_queue_types.ts";
import { estimateWait } from "./fair_queue_wait.ts";
import {
  addToLane,
  createTeam,
  type EntryState,
  pickYoungest,
  removeFromLane,
  type TeamState,
} from "./fair_queue_team.ts";

const DEFAULT_MAX_QUEUED = 10_000;
const DEFAULT_MAX_QUEUED_PER_TEAM = 2_000;
const DEFAULT_DURATION_MS = 100;

/** Weight of a new sample in the estimate of a team's slot time. */
const DURATION_SAMPLE_WEIGHT = 0.1;

/** Mean deviations to add to the mean slot time; covers a uniform spread in full. */
const DEVIATION_FACTOR = 2;

/** Factor on the estimated wait, which does not foresee work that arrives later. */
const WAIT_MARGIN = 1.1;

/** Teams without requests whose history is kept. */
const MAX_IDLE_TEAMS = 4_096;

/** Creates an empty fair queue. */
export function createFairQueue<T>(
  options: FairQueueOptions<T>,
): FairQueue<T> {
  const { clock, getPolicy, getPool, onRefuse } = options;
  const maxQueued = options.maxQueued ?? DEFAULT_MAX_QUEUED;
  const maxQueuedPerTeam = options.maxQueuedPerTeam ??
    DEFAULT_MAX_QUEUED_PER_TEAM;
  const defaultDurationMs = options.defaultDurationMs ?? DEFAULT_DURATION_MS;
  const teams = new Map<string, TeamState<T>>();
  // Teams with queued requests that are below their slot limit, as far as known.
  const eligible = new Set<TeamState<T>>();
  const deadlines = createExpiryQueue<EntryState<T>>({
    clock,
    onExpire: handleDeadline,
  });
  const countByQueue = new Map<string, number>();
  let virtualTime = 0;
  let nextOrder = 0;
  // Of all teams; the first guess for a team without history.
  let meanDurationMs = defaultDurationMs;
  let queuedCount = 0;
  let runningCount = 0;
  let maxTag = 0;
  let isStopped = false;

  function createNewTeam(name: string): TeamState<T> {
    return createTeam(name, virtualTime, meanDurationMs);
  }

  function getTeam(name: string): TeamState<T> {
    let team = teams.get(name);
    if (team === undefined) {
      team = createNewTeam(name);
      teams.set(name, team);
    }
    return team;
  }

  /** The slot time to reserve for an answer in time, like a TCP timeout. */
  function getNeeded(team: TeamState<T>, remainingMs: number): number {
    const neededMs = team.durationMs + DEVIATION_FACTOR * team.deviationMs;
    // A wrong estimate must not shut a team out for good.
    return Math.min(neededMs, remainingMs / 2);
  }

  function setEligible(team: TeamState<T>): void {
    if (team.queued === 0 || eligible.has(team)) return;
    // A team earns no credit for the time in which it had nothing to run or
    // was at its own limit; otherwise its return would starve the others.
    team.startTag = Math.max(team.startTag, virtualTime);
    eligible.add(team);
  }

  function handleIdle(): void {
    if (queuedCount > 0 || runningCount > 0) return;
    // Debts and credits end when nobody competes; otherwise a long request
    // run alone would cost its team its turns hours later.
    virtualTime = Math.max(virtualTime, maxTag);
    if (teams.size > MAX_IDLE_TEAMS) teams.clear();
  }

  function setStartTag(team: TeamState<T>, tag: number): void {
    team.startTag = tag;
    maxTag = Math.max(maxTag, tag);
  }

  function addQueueCount(queue: string, change: number): void {
    const count = (countByQueue.get(queue) ?? 0) + change;
    if (count === 0) countByQueue.delete(queue);
    else countByQueue.set(queue, count);
  }

  function isShared(pool: QueuePool): boolean {
    for (const queue of countByQueue.keys()) {
      if (!pool.queues.has(queue)) return false;
    }
    return true;
  }

  function removeQueued(entry: EntryState<T>): void {
    const team = entry.team;
    removeFromLane(entry);
    addQueueCount(entry.item.queue, -1);
    entry.isQueued = false;
    queuedCount -= 1;
    if (entry.expiry !== undefined) deadlines.remove(entry.expiry);
    if (team.queued === 0) eligible.delete(team);
  }

  function handleDeadline(entry: EntryState<T>): void {
    removeQueued(entry);
    const { team, queue, value } = entry.item;
    onRefuse(
      value,
      createFault(
        "overloaded",
        `Cannot answer the request of team "${team}" on queue "${queue}" in time: it waited too long`,
      ),
    );
  }

  function checkDeadline(item: QueueItem<T>, options: AddOptions): void {
    const remainingMs = item.deadlineMs - clock.now();
    if (remainingMs <= 0) {
      throw createFault(
        "deadlineExceeded",
        `Cannot queue the request of team "${item.team}": its deadline has passed`,
        { ran: "no" },
      );
    }
    const own = teams.get(item.team) ?? createNewTeam(item.team);
    const neededMs = WAIT_MARGIN * getWait(item.team, item.queue) +
      getNeeded(own, remainingMs);
    if (neededMs <= remainingMs) return;
    // Work that can start at once is never refused on an estimate: a team
    // whose estimate is too high could otherwise never correct it.
    const used = own.running + own.queued;
    const isBelowLimit = used < getPolicy(item.team).slotLimit;
    if (isBelowLimit && options.canStartNow?.() === true) return;
    throw createFault(
      "overloaded",
      `Cannot answer the request of team "${item.team}" in time: ` +
        `${Math.ceil(neededMs)} ms needed, ${
          Math.floor(remainingMs)
        } ms remain`,
    );
  }

  /** Refuses the youngest request of the team with the longest queue for its weight. */
  function refuseFromLongest(item: QueueItem<T>): void {
    let longest: TeamState<T> | undefined;
    let longestLoad = 0;
    for (const team of teams.values()) {
      const load = team.queued / getPolicy(team.name).weight;
      if (load > longestLoad) {
        longest = team;
        longestLoad = load;
      }
    }
    const ownLoad = ((teams.get(item.team)?.queued ?? 0) + 1) /
      getPolicy(item.team).weight;
    const youngest = longest === undefined ? undefined : pickYoungest(longest);
    if (youngest === undefined || ownLoad >= longestLoad) {
      throw createFault(
        "overloaded",
        `Cannot queue the request of team "${item.team}": the queue is full with ${queuedCount} requests`,
      );
    }
    removeQueued(youngest);
    onRefuse(
      youngest.item.value,
      createFault(
        "overloaded",
        `Cannot keep the request of team "${youngest.item.team}": the queue is full and the team has the most requests in it`,
      ),
    );
  }

  function add(
    item: QueueItem<T>,
    addOptions: AddOptions = {},
  ): QueueEntry<T> {
    if (isStopped) {
      throw createFault("unavailable", "Cannot queue the request: stopping");
    }
    checkDeadline(item, addOptions);
    if ((teams.get(item.team)?.queued ?? 0) >= maxQueuedPerTeam) {
      throw createFault(
        "limitReached",
        `Cannot queue the request of team "${item.team}": ${maxQueuedPerTeam} of its requests are queued`,
      );
    }
    if (queuedCount >= maxQueued) refuseFromLongest(item);
    const team = getTeam(item.team);
    const entry: EntryState<T> = {
      item,
      team,
      order: nextOrder++,
      isQueued: true,
      isRunning: false,
      chargedMs: 0,
      weight: 1,
      previous: undefined,
      next: undefined,
      expiry: undefined as ExpiryEntry<EntryState<T>> | undefined,
    };
    team.weight = getPolicy(team.name).weight;
    addToLane(entry);
    addQueueCount(item.queue, 1);
    queuedCount += 1;
    // A request that starts too late for its deadline only takes a slot from
    // others: at twice the capacity that cost a fifth of the useful work.
    const neededMs = getNeeded(team, item.deadlineMs - clock.now());
    entry.expiry = deadlines.add(item.deadlineMs - neededMs, entry);
    setEligible(team);
    return entry;
  }

  function pickTeam(round: number): TeamState<T> | undefined {
    let best: TeamState<T> | undefined;
    for (const team of eligible) {
      if (team.skippedInRound === round) continue;
      const isBetter = best === undefined || team.startTag < best.startTag ||
        (team.startTag === best.startTag && team.lastTaken < best.lastTaken);
      if (isBetter) best = team;
    }
    return best;
  }

  function pickEntry(
    team: TeamState<T>,
    canRun: (value: T) => boolean,
  ): EntryState<T> | undefined {
    const heads = [...team.lanes.values()].map((lane) => lane.first);
    if (heads.length > 1) heads.sort((a, b) => a.order - b.order);
    return heads.find((entry) => canRun(entry.item.value));
  }

  let round = 0;
  let hasSkipped = false;

  function startEntry(entry: EntryState<T>, weight: number): void {
    const team = entry.team;
    removeQueued(entry);
    virtualTime = Math.max(virtualTime, team.startTag);
    entry.isRunning = true;
    entry.chargedMs = team.durationMs;
    entry.weight = weight;
    setStartTag(team, team.startTag + entry.chargedMs / weight);
    team.running += 1;
    runningCount += 1;
    team.lastTaken = nextOrder++;
    // A team that was passed over because no endpoint could take its work
    // keeps its turn but saves no credit.
    for (const other of hasSkipped ? eligible : []) {
      if (other.skippedInRound !== round) continue;
      other.startTag = Math.max(other.startTag, virtualTime);
    }
  }

  function take(canRun: (value: T) => boolean): QueueEntry<T> | undefined {
    round += 1;
    hasSkipped = false;
    for (
      let team = pickTeam(round);
      team !== undefined;
      team = pickTeam(round)
    ) {
      const policy = getPolicy(team.name);
      if (team.running >= policy.slotLimit) {
        eligible.delete(team);
        continue;
      }
      const entry = pickEntry(team, canRun);
      if (entry !== undefined) {
        startEntry(entry, policy.weight);
        return entry;
      }
      team.skippedInRound = round;
      hasSkipped = true;
    }
    return undefined;
  }

  function release(taken: QueueEntry<T>, heldMs: number): void {
    const entry = taken as EntryState<T>;
    if (!entry.isRunning) return;
    entry.isRunning = false;
    const team = entry.team;
    team.running -= 1;
    runningCount -= 1;
    setStartTag(
      team,
      team.startTag + (heldMs - entry.chargedMs) / entry.weight,
    );
    if (heldMs > 0) {
      meanDurationMs += (heldMs - meanDurationMs) * DURATION_SAMPLE_WEIGHT;
      const errorMs = heldMs - team.durationMs;
      team.durationMs += errorMs * DURATION_SAMPLE_WEIGHT;
      team.deviationMs += (Math.abs(errorMs) - team.deviationMs) *
        DURATION_SAMPLE_WEIGHT;
    }
    setEligible(team);
    handleIdle();
  }

  function getWait(team: string, queue: string): number {
    const pool = getPool(queue);
    return estimateWait({
      team: teams.get(team) ?? createNewTeam(team),
      teams: teams.values(),
      pool,
      virtualTime,
      policy: getPolicy(team),
      isShared: isShared(pool),
    });
  }

  return {
    add,
    remove(entry) {
      const state = entry as EntryState<T>;
      if (!state.isQueued) return false;
      removeQueued(state);
      return true;
    },
    take,
    release,
    estimateWait: getWait,
    updatePolicies() {
      for (const team of teams.values()) {
        team.weight = getPolicy(team.name).weight;
        setEligible(team);
      }
    },
    getSize: () => queuedCount,
    listTeams: () =>
      [...teams.values()].map(({ name, queued, running }) => ({
        team: name,
        queued,
        running,
      })),
    stop() {
      isStopped = true;
      for (const team of [...teams.values()]) {
        for (
          let entry = pickYoungest(team);
          entry !== undefined;
          entry = pickYoungest(team)
        ) {
          removeQueued(entry);
          onRefuse(
            entry.item.value,
            createFault("unavailable", "Cannot run the request: stopping"),
          );
        }
      }
      deadlines.stop();
    },
  };
}
