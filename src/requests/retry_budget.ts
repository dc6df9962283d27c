/**
 * Limits and delays retries. Each workspace has a token budget for retries, so
 * that failing requests cannot multiply the load on the endpoints; each first
 * attempt earns a fraction of a token.
 */

import type { Random } from "../common/mod.ts";

/** Options of a retry budget. */
export interface RetryBudgetOptions {
  /**
   * Tokens earned per first attempt, that is the ratio of retries to first
   * attempts. Default 0.2.
   */
  earnedPerRequest?: number;
  /** Maximum and initial tokens of a workspace. Default 10. */
  maxTokens?: number;
  /** Maximum number of workspaces tracked. Default 4,096. */
  maxWorkspaces?: number;
}

/** The retry tokens of each workspace. */
export interface RetryBudget {
  /** Counts a first attempt of the workspace. */
  recordRequest(workspace: string): void;
  /** Takes a token for one retry; returns false if the workspace has none left. */
  take(workspace: string): boolean;
  getTokens(workspace: string): number;
}

const DEFAULT_EARNED_PER_REQUEST = 0.2;
const DEFAULT_MAX_TOKENS = 10;
const DEFAULT_MAX_WORKSPACES = 4_096;

/** Creates a budget in which every workspace has `maxTokens`. */
export function createRetryBudget(
  options: RetryBudgetOptions = {},
): RetryBudget {
  const earned = options.earnedPerRequest ?? DEFAULT_EARNED_PER_REQUEST;
  const maxTokens = options.maxTokens ?? DEFAULT_MAX_TOKENS;
  const maxWorkspaces = options.maxWorkspaces ?? DEFAULT_MAX_WORKSPACES;
  // Only workspaces below `maxTokens`, in order of their last retry.
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

/** Options of the delay between attempts, in milliseconds. */
export interface BackoffOptions {
  /** Maximum delay before the first retry; doubles with each further retry. Default 20. */
  baseMs?: number;
  /** Maximum delay. Default 1,000. */
  maxMs?: number;
}

const DEFAULT_BACKOFF_BASE_MS = 20;
const DEFAULT_BACKOFF_MAX_MS = 1_000;

/**
 * Returns the delay before retry number `retry`, starting at 0, in milliseconds.
 * Exponential backoff with full jitter, so that requests that failed at the same
 * time are not retried at the same time.
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
