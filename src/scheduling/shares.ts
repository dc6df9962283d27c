/**
 * Shares of workspaces by two rules. Weighted dominant-resource fairness compares
 * the largest fraction that a workspace holds of any resource; asset fairness
 * compares the sum of the fractions. See `docs/scheduling.md`.
 */

import { RESOURCE_NAMES, type Resources } from "../common/mod.ts";

/** The rule for comparing the resources that workspaces hold. */
export type ShareRule = "dominant" | "asset";

/** Returns the largest fraction of any resource of `total` that `held` contains. */
export function computeDominantShare(
  held: Resources,
  total: Resources,
): number {
  return Math.max(
    held.processors / (total.processors || 1),
    held.memoryMb / (total.memoryMb || 1),
    held.accelerators / (total.accelerators || 1),
  );
}

/** Returns the mean of the fractions over the resources with a positive total. */
export function computeAssetShare(held: Resources, total: Resources): number {
  let sum = 0;
  let kinds = 0;
  for (const name of RESOURCE_NAMES) {
    if (total[name] <= 0) continue;
    sum += held[name] / total[name];
    kinds++;
  }
  return kinds === 0 ? 0 : sum / kinds;
}

/** Returns the share function of a rule. */
export function getShareFunction(
  rule: ShareRule,
): (held: Resources, total: Resources) => number {
  return rule === "dominant" ? computeDominantShare : computeAssetShare;
}

/** Returns Jain's fairness index of `values`: 1 if all are equal, 1/n if one has everything. */
export function computeJainIndex(values: readonly number[]): number {
  const sum = values.reduce((total, value) => total + value, 0);
  const squares = values.reduce((total, value) => total + value * value, 0);
  return squares === 0 ? 1 : sum * sum / (values.length * squares);
}
