/**
 * Shares of workspaces. Two rules are offered: weighted dominant-resource fairness,
 * which compares the largest part that a workspace holds of any resource, and asset
 * fairness, which compares the sum of the parts. See `docs/scheduling.md`.
 */

import { RESOURCE_NAMES, type Resources } from "../common/mod.ts";

/** How the holdings of workspaces are compared. */
export type ShareRule = "dominant" | "asset";

/** Returns the largest part of any resource of `total` that `held` makes up. */
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

/** Returns the sum of the parts of each resource, divided by the number of resources that exist. */
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

/** Jain's fairness index of `values`: 1 when all are equal, 1/n when one has everything. */
export function computeJainIndex(values: readonly number[]): number {
  const sum = values.reduce((total, value) => total + value, 0);
  const squares = values.reduce((total, value) => total + value * value, 0);
  return squares === 0 ? 1 : sum * sum / (values.length * squares);
}
