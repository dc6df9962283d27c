/**
 * When a request may be sent again. Retries draw on a token budget by team, so
 * that a team whose requests fail cannot multiply the load on the endpoints;
 * each first attempt earns a part of a token.
 */

import type { Random } from "../common/mod.ts";

/** Settings of a retry budget. */
export interface RetryBudgetOptions {
  /** Tokens that each first attempt earns: the part of the load that may be retries. Default 0.2. */
  earnedPerRequest?: number;
  /** Most tokens of a team, and its tokens at the start. Default 10. */
  maxTokens?: number;
  /** Teams whose tokens are kept. Default 4,096. */
  maxTeams?: number;
}

/** The retry tokens of each team. */
export interface RetryBudget {
  /** Counts a first attempt of the team. */
  recordRequest(team: string): void;
  /** Takes a token for one retry; false when the team has none left. */
  take(team: string): boolean;
  getTokens(team: string): number;
}

const DEFAULT_EARNED_PER_REQUEST = 0.2;
const DEFAULT_MAX_TOKENS = 10;
const DEFAULT_MAX_TEAMS = 4_096;

/** Creates a budget in which every team has all its tokens. */
export function createRetryBudget(
  options: RetryBudgetOptions = {},
): RetryBudget {
  const earned = options.earnedPerRequest ?? DEFAULT_EARNED_PER_REQUEST;
  const maxTokens = options.maxTokens ?? DEFAULT_MAX_TOKENS;
  const maxTeams = options.maxTeams ?? DEFAULT_MAX_TEAMS;
  // Only teams that have spent tokens are kept, in order of their last retry.
  const spent = new Map<string, number>();

  function getTokens(team: string): number {
    return spent.get(team) ?? maxTokens;
  }

  return {
    recordRequest(team) {
      const tokens = spent.get(team);
      if (tokens === undefined) return;
      if (tokens + earned >= maxTokens) spent.delete(team);
      else spent.set(team, tokens + earned);
    },
    take(team) {
      const tokens = getTokens(team);
      if (tokens < 1) return false;
      spent.delete(team);
      spent.set(team, tokens - 1);
      if (spent.size > maxTeams) {
        for (const oldest of spent.keys()) {
          spent.delete(oldest);
          break;
        }
      }
      return true;
    },
    getTokens,
  };
}

/** Settings of the pause between two attempts, in milliseconds. */
export interface BackoffOptions {
  /** Longest pause before the first retry; doubled with each further one. Default 20. */
  baseMs?: number;
  /** Longest pause. Default 1,000. */
  maxMs?: number;
}

const DEFAULT_BACKOFF_BASE_MS = 20;
const DEFAULT_BACKOFF_MAX_MS = 1_000;

/**
 * Returns the pause before retry number `retry`, from 0: exponential with full
 * jitter, so that requests that failed together do not return together.
 */
export function computeBackoff(
  retry: number,
  random: Random,
  options: BackoffOptions = {},
): number {
  const baseMs = options.baseMs ?? DEFAULT_BACKOFF_BASE_MS;
  const maxMs = options.maxMs ?? DEFAULT_BACKOFF_MAX_MS;
  return random.nextFloat() * Math.min(maxMs, baseMs * 2 ** retry);
}
