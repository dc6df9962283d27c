/** Baseline scheduler: first come, first served, first fit, without fair shares or preemption. */

import {
  addResources,
  fitsWithin,
  NO_RESOURCES,
  type Resources,
  subtractResources,
} from "../../src/common/mod.ts";
import type { JobSpec } from "../../src/scheduling/mod.ts";
import type { SchedulerUnderTest, TaskStart } from "./driver.ts";

/** Creates the baseline scheduler. A job that does not fit blocks all later jobs. */
export function createFcfsScheduler(
  capacities: readonly Resources[],
): SchedulerUnderTest {
  const free = [...capacities];
  const queue: { spec: JobSpec; index: number }[] = [];
  let nextPosition = 0;

  function place(amount: Resources): number {
    const worker = free.findIndex((freeAmount) =>
      fitsWithin(amount, freeAmount)
    );
    if (worker >= 0) free[worker] = subtractResources(free[worker]!, amount);
    return worker;
  }

  function placeGang(spec: JobSpec): number[] | undefined {
    const workers: number[] = [];
    for (let index = 0; index < spec.tasks; index++) {
      const worker = place(spec.resources);
      if (worker >= 0) {
        workers.push(worker);
        continue;
      }
      for (const reservedWorker of workers) {
        free[reservedWorker] = addResources(
          free[reservedWorker] ?? NO_RESOURCES,
          spec.resources,
        );
      }
      return undefined;
    }
    return workers;
  }

  return {
    addJob(spec) {
      for (let index = 0; index < spec.tasks; index++) {
        queue.push({ spec, index });
      }
    },
    report() {},
    step() {
      const starts: TaskStart[] = [];
      while (nextPosition < queue.length) {
        const { spec, index } = queue[nextPosition]!;
        const isGang = spec.policy === "gang";
        const workers = isGang ? placeGang(spec) : [place(spec.resources)];
        if (workers === undefined || workers[0]! < 0) break;
        workers.forEach((worker, offset) =>
          starts.push({
            spec,
            index: index + offset,
            attempt: 1,
            worker,
          })
        );
        nextPosition += workers.length;
      }
      return { starts, stops: [] };
    },
    end({ worker, spec }) {
      free[worker] = addResources(free[worker]!, spec.resources);
    },
  };
}
