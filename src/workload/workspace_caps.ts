/** Compares what a workspace uses with its cap. A cap of 0 is no limit. */

import type { Resources } from "../common/mod.ts";

/** Share of the cap by which a gang wider than the cap may exceed it; the platform tolerates 0.1. */
const CAP_TOLERANCE = 0.05;

/** Tells whether an amount is within a cap. */
export function isWithinCap(used: Resources, cap: Resources): boolean {
  return (cap.processors === 0 || used.processors <= cap.processors) &&
    (cap.memoryMb === 0 || used.memoryMb <= cap.memoryMb) &&
    (cap.accelerators === 0 || used.accelerators <= cap.accelerators);
}

/** Computes the cap of a workspace for a gang that runs alone. */
export function computeGangCap(cap: Resources): Resources {
  return {
    processors: Math.floor(cap.processors * (1 + CAP_TOLERANCE)),
    memoryMb: Math.floor(cap.memoryMb * (1 + CAP_TOLERANCE)),
    accelerators: cap.accelerators,
  };
}
