/** Arithmetic and comparison of limits. All amounts are integers, so sums are exact. */

import { LIMIT_NAMES, type LimitName, type Limits } from "./types.ts";

/** Limits of 0. */
export const NO_LIMITS: Limits = Object.freeze({
  slots: 0,
  processors: 0,
  memoryMb: 0,
  accelerators: 0,
});

/** Builds limits by calling `getAmount` for each limit name. */
export function buildLimits(getAmount: (name: LimitName) => number): Limits {
  return {
    slots: getAmount("slots"),
    processors: getAmount("processors"),
    memoryMb: getAmount("memoryMb"),
    accelerators: getAmount("accelerators"),
  };
}

/** Returns `a + b`. */
export function addLimits(a: Limits, b: Limits): Limits {
  return buildLimits((name) => a[name] + b[name]);
}

/** Returns `a - b`; amounts may become negative. */
export function subtractLimits(a: Limits, b: Limits): Limits {
  return buildLimits((name) => a[name] - b[name]);
}

/** Returns the larger amount of each limit. */
export function mergeLimits(a: Limits, b: Limits): Limits {
  return buildLimits((name) => Math.max(a[name], b[name]));
}

/** Tells whether `amount` is at most `available` in every limit. */
export function fitsLimits(amount: Limits, available: Limits): boolean {
  return LIMIT_NAMES.every((name) => amount[name] <= available[name]);
}

/** Tells whether every limit of `amount` is 0. */
export function isZeroLimits(amount: Limits): boolean {
  return LIMIT_NAMES.every((name) => amount[name] === 0);
}

/** Tells whether any limit of `amount` is above 0. */
export function hasPositiveLimit(amount: Limits): boolean {
  return LIMIT_NAMES.some((name) => amount[name] > 0);
}

/** Tells whether `a` and `b` are equal in every limit. */
export function isSameLimits(a: Limits, b: Limits): boolean {
  return LIMIT_NAMES.every((name) => a[name] === b[name]);
}
