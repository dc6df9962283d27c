/** Fetches the snapshots of all instances and lists the instances that failed. */

import { z } from "zod";
import { createFault } from "../common/mod.ts";
import type { BurnSnapshot } from "./burn_recorder.ts";
import { OBJECTIVE_NAMES } from "./objectives.ts";
import { WINDOW_NAMES } from "./window_counts.ts";

/** An instance whose snapshot could not be fetched or parsed. */
export interface UnreachedInstance {
  readonly instance: string;
  readonly reason: string;
}

/** Snapshots, and the instances without one. */
export interface BurnSnapshots {
  readonly snapshots: readonly BurnSnapshot[];
  readonly unreached: readonly UnreachedInstance[];
}

const COUNT = z.int().min(0);
const COUNTS = z.object({ good: COUNT, bad: COUNT });

const OBJECTIVE = z.object({
  target: z.number().gt(0).lt(1),
  limit: z.number().optional(),
  windows: z.record(z.enum(WINDOW_NAMES), COUNTS),
  budget: COUNTS,
  series: z.object({
    startMs: COUNT,
    good: z.array(COUNT),
    bad: z.array(COUNT),
  }),
});

const SNAPSHOT = z.object({
  instance: z.string(),
  sinceMs: z.number(),
  takenAtMs: z.number(),
  workspaces: z.record(
    z.string(),
    z.object({
      objectives: z.partialRecord(z.enum(OBJECTIVE_NAMES), OBJECTIVE),
      answerTimes: z.string(),
      waitingTimes: z.string(),
    }),
  ),
});

/** Parses a snapshot sent by an instance. Fault `badRequest` if it is invalid. */
export function parseBurnSnapshot(input: unknown): BurnSnapshot {
  const result = SNAPSHOT.safeParse(input);
  if (result.success) return result.data as BurnSnapshot;
  const [issue] = result.error.issues;
  throw createFault(
    "badRequest",
    `Cannot parse burn snapshot: ${issue?.path.join(".")}: ${issue?.message}`,
  );
}

/**
 * Fetches the snapshots of all instances concurrently. `fetchSnapshot` must apply
 * its own timeout. An instance is listed as unreached if the call rejects or the
 * snapshot is invalid.
 */
export async function readBurnSnapshots(
  instances: readonly string[],
  fetchSnapshot: (instance: string) => Promise<unknown>,
): Promise<BurnSnapshots> {
  const snapshots: BurnSnapshot[] = [];
  const unreached: UnreachedInstance[] = [];
  await Promise.all(instances.map(async (instance) => {
    try {
      snapshots.push(parseBurnSnapshot(await fetchSnapshot(instance)));
    } catch (error) {
      const reason = error instanceof Error ? error.message : String(error);
      unreached.push({ instance, reason });
    }
  }));
  const byName = (a: { instance: string }, b: { instance: string }) =>
    a.instance < b.instance ? -1 : 1;
  return {
    snapshots: snapshots.sort(byName),
    unreached: unreached.sort(byName),
  };
}
