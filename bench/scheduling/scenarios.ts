/** Job arrival scenarios of the scheduling benchmark; each is determined by its seed. */

import {
  createSeededRandom,
  multiplyResources,
  type Resources,
} from "../../src/common/mod.ts";
import type { JobPolicy, JobSpec } from "../../src/scheduling/mod.ts";
import type { Arrival, Scenario } from "./driver.ts";

const CORE: Resources = { processors: 1_000, memoryMb: 4_096, accelerators: 0 };

function buildFleet(workers: number): Resources[] {
  return Array.from({ length: workers }, () => multiplyResources(CORE, 16));
}

function buildSpec(
  fields: Pick<JobSpec, "id" | "workspace" | "submittedAt"> & Partial<JobSpec>,
): JobSpec {
  return {
    policy: "batch",
    tasks: 1,
    resources: CORE,
    urgent: false,
    maxAttempts: 3,
    ...fields,
  };
}

/**
 * Builds 20 minutes of uneven load on a cell of 30 workers: one workspace floods
 * the cell from the start, others submit in bursts, declared run times are wrong by
 * up to a factor of four, and each gang needs a quarter of the cell.
 */
export function buildUnevenScenario(seed: number): Scenario {
  const random = createSeededRandom(seed);
  // The workspace with the longest jobs has the highest weight, so fair shares conflict with short waits.
  const weights = { flood: 3, burst: 1, steady: 1, gangs: 1, services: 1 };
  const arrivals: Arrival[] = [];
  let number = 0;

  function addArrival(
    workspace: string,
    submittedAt: number,
    options: {
      policy?: JobPolicy;
      tasks?: number;
      cores?: number;
      runMs: number;
    },
  ): void {
    const factor = 2 ** (4 * random.nextFloat() - 2);
    const { policy = "batch", tasks = 1, cores = 1, runMs } = options;
    arrivals.push({
      runMs,
      spec: buildSpec({
        id: `${workspace}-${number++}`,
        workspace,
        submittedAt,
        policy,
        tasks,
        resources: multiplyResources(CORE, cores),
        expectedMs: Math.ceil(runMs * factor),
      }),
    });
  }

  addArrival("services", 0, { policy: "service", tasks: 48, runMs: 1e9 });
  for (let count = 0; count < 300; count++) {
    const cores = 1 + random.nextInt(4);
    addArrival("flood", 100, {
      cores,
      runMs: 60_000 + random.nextInt(180_000),
    });
  }
  for (let second = 30; second < 1_200; second++) {
    const atMs = second * 1_000;
    if (second % 2 === 0) {
      addArrival("flood", atMs, {
        cores: 2,
        runMs: 60_000 + random.nextInt(120_000),
      });
    }
    for (let count = 0; count < 2; count++) {
      addArrival("steady", atMs, { runMs: 5_000 + random.nextInt(55_000) });
    }
    if (second % 120 === 0) {
      for (let count = 0; count < 150; count++) {
        addArrival("burst", atMs, { runMs: 20_000 + random.nextInt(80_000) });
      }
    }
    if (second % 150 === 60) {
      addArrival("gangs", atMs, {
        policy: "gang",
        tasks: 15,
        cores: 8,
        runMs: 60_000,
      });
    }
  }
  arrivals.sort((a, b) => a.spec.submittedAt - b.spec.submittedAt);
  return {
    weights,
    capacities: buildFleet(30),
    arrivals,
    untilMs: 1_200_000,
  };
}

/**
 * Builds an overloaded cell with three workspaces of equal weight, each needing
 * mostly one resource. The share rules differ only under such a load.
 */
export function buildMixedScenario(seed: number): Scenario {
  const random = createSeededRandom(seed);
  const sizes: Record<string, Resources> = {
    cores: { processors: 4_000, memoryMb: 2_048, accelerators: 0 },
    memory: { processors: 1_000, memoryMb: 16_384, accelerators: 0 },
    accelerators: { processors: 2_000, memoryMb: 8_192, accelerators: 1 },
  };
  const arrivals: Arrival[] = [];
  for (let count = 0; count < 1_500; count++) {
    for (const [workspace, resources] of Object.entries(sizes)) {
      const runMs = 10_000 + random.nextInt(20_000);
      const submittedAt = 100 + 300 * count;
      const id = `${workspace}-${count}`;
      arrivals.push({
        runMs,
        spec: buildSpec({
          id,
          workspace,
          submittedAt,
          resources,
          expectedMs: runMs,
        }),
      });
    }
  }
  return {
    weights: { cores: 1, memory: 1, accelerators: 1 },
    capacities: buildFleet(12).map((capacity) => ({
      ...capacity,
      accelerators: 4,
    })),
    arrivals,
    untilMs: 450_000,
  };
}

/** Builds a full cell that receives urgent tasks one by one; half of the other tasks ignore checkpoints. */
export function buildUrgentScenario(workers: number, seed: number): Scenario {
  const random = createSeededRandom(seed);
  const arrivals: Arrival[] = [];
  const cores = 16 * workers;
  for (let count = 0; count < cores / 2; count++) {
    const payload = count % 2 === 0 ? "stubborn" : "obedient";
    const policy = count % 5 === 0 ? "service" : "batch";
    arrivals.push({
      runMs: 1e9,
      spec: buildSpec({
        id: `fill-${count}`,
        workspace: "fill",
        submittedAt: 0,
        policy,
        payload,
        resources: multiplyResources(CORE, 2),
      }),
    });
  }
  for (let count = 0; count < 100; count++) {
    arrivals.push({
      runMs: 10_000,
      spec: buildSpec({
        id: `urgent-${count}`,
        workspace: "urgent",
        submittedAt: 20_000 + count * 137 + random.nextInt(100),
        urgent: true,
        expectedMs: 10_000,
        resources: multiplyResources(CORE, 1 + random.nextInt(4)),
      }),
    });
  }
  arrivals.sort((a, b) => a.spec.submittedAt - b.spec.submittedAt);
  return {
    weights: { fill: 1, urgent: 1 },
    capacities: buildFleet(workers),
    arrivals,
    untilMs: 60_000,
  };
}
