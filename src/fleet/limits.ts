/** Sums and comparisons of limits. All amounts are integers, so sums are exact. */

import { LIMIT_NAMES, type LimitName, type Limits } from "./types.ts";

/** Nothing of anything. */
export const NO_LIMITS: Limits = Object.freeze({
  slots: 0,
  processors: 0,
  memoryMb: 0,
  accelerators: 0,
});

/** Builds limits from one function of the name. */
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

/** Returns the larger of both in each limit. */
export function mergeLimits(a: Limits, b: Limits): Limits {
  return buildLimits((name) => Math.max(a[name], b[name]));
}

/** Tells whether `amount` is no more than `room` in every limit. */
export function fitsLimits(amount: Limits, room: Limits): boolean {
  return LIMIT_NAMES.every((name) => amount[name] <= room[name]);
}

/** Tells whether every limit of `amount` is 0. */
export function isZeroLimits(amount: Limits): boolean {
  return LIMIT_NAMES.every((name) => amount[name] === 0);
}

/** Tells whether some limit of `amount` is above 0. */
export function hasPositiveLimit(amount: Limits): boolean {
  return LIMIT_NAMES.some((name) => amount[name] > 0);
}

/** Tells whether both are equal in every limit. */
export function isSameLimits(a: Limits, b: Limits): boolean {
  return LIMIT_NAMES.every((name) => a[name] === b[name]);
}
