/**
 * When a request may be sent again. Retries draw on a token budget by workspace, so
 * that a workspace whose requests fail cannot multiply the load on the endpoints;
 * each first attempt earns a part of a token.
 */

import type { Random } from "../common/mod.ts";

/** Settings of a retry budget. */
export interface RetryBudgetOptions {
  /** Tokens that each first attempt earns: the part of the load that may be retries. Default 0.2. */
  earnedPerRequest?: number;
  /** Most tokens of a workspace, and its tokens at the start. Default 10. */
  maxTokens?: number;
  /** Workspaces whose tokens are kept. Default 4,096. */
  maxWorkspaces?: number;
}

/** The retry tokens of each workspace. */
export interface RetryBudget {
  /** Counts a first attempt of the workspace. */
  recordRequest(workspace: string): void;
  /** Takes a token for one retry; false when the workspace has none left. */
  take(workspace: string): boolean;
  getTokens(workspace: string): number;
}

const DEFAULT_EARNED_PER_REQUEST = 0.2;
const DEFAULT_MAX_TOKENS = 10;
const DEFAULT_MAX_WORKSPACES = 4_096;

/** Creates a budget in which every workspace has all its tokens. */
export function createRetryBudget(
  options: RetryBudgetOptions = {},
): RetryBudget {
  const earned = options.earnedPerRequest ?? DEFAULT_EARNED_PER_REQUEST;
  const maxTokens = options.maxTokens ?? DEFAULT_MAX_TOKENS;
  const maxWorkspaces = options.maxWorkspaces ?? DEFAULT_MAX_WORKSPACES;
  // Only workspaces that have spent tokens are kept, in order of their last retry.
  const spent = new Map<string, number>();

  function getTokens(workspace: string): number {
    return spent.get(workspace) ?? maxTokens;
  }

  return {
    recordRequest(workspace) {
      const tokens = spent.get(workspace);
      if (tokens === undefined) return;
      if (tokens + earned >= maxTokens) spent.delete(workspace);
      else spent.set(workspace, tokens + earned);
    },
    take(workspace) {
      const tokens = getTokens(workspace);
      if (tokens < 1) return false;
      spent.delete(workspace);
      spent.set(workspace, tokens - 1);
      if (spent.size > maxWorkspaces) {
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
