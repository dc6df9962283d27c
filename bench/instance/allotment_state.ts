/** Measures the snapshot size of a data centre's allotments and the time to plan and apply the first ones. */

import process from "node:process";
import { createAllotments } from "../../src/allotments/mod.ts";
import {
  createFleetState,
  encodeCommand,
  type FleetOperation,
} from "../../src/fleet/mod.ts";

/** Measurements for one number of workspaces. */
export interface AllotmentStateResult {
  readonly workspaces: number;
  readonly dataCentres: number;
  readonly snapshotBytes: number;
  /** Processor time to plan and apply the allotments of all workspaces, in milliseconds. */
  readonly applyMs: number;
}

/** Creates workspaces with limits and applies their allotments in one data centre; throws on failure. */
export function measureAllotmentState(
  workspaces: number,
  dataCentres: number,
): AllotmentStateResult {
  const names = Array.from({ length: dataCentres }, (_, at) => `region${at}`);
  const limits = {
    slots: 400,
    processors: 640_000,
    memoryMb: 2_621_440,
    accelerators: 30,
  };
  const operations: FleetOperation[] = [{ type: "setDataCentres", names }];
  for (let at = 0; at < workspaces; at++) {
    operations.push({
      type: "createWorkspace",
      name: `workspace-${at}`,
      share: 1,
      limits,
    });
  }
  const machine = createFleetState();
  const answer = machine.apply(
    encodeCommand({
      at: 1_800_000_000_000,
      change: { changeId: "change-1", operations },
    }),
    1,
  );
  if (!answer.accepted) throw new Error(answer.fault.message);
  const allotments = createAllotments("region0");
  const before = process.cpuUsage();
  const command = allotments.planConfiguration(machine.getState());
  if (command === undefined) throw new Error("Cannot plan the allotments");
  const result = allotments.apply(command);
  if (!result.applied) throw new Error("Cannot apply the allotments");
  const { user, system } = process.cpuUsage(before);
  return {
    workspaces,
    dataCentres,
    snapshotBytes: allotments.takeSnapshot().length,
    applyMs: (user + system) / 1_000,
  };
}
