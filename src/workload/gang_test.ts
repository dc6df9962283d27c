/** Gangs under a load of other jobs, on the model of a cell. */

import t from "tap";
import { createSeededRandom } from "../common/mod.ts";
import {
  createJob,
  createModelConfiguration,
  createWorkModel,
  type WorkModel,
} from "../model/mod.ts";

const RUNNERS = 40;
const SHORT = { processors: 1_000, memoryMb: 1_000, accelerators: 0 };

interface BusyCell {
  readonly model: WorkModel;
  /** Advances the model under a steady load of other jobs. */
  runUnderLoad(ms: number): Promise<void>;
  submit(kind: string, count: number): Promise<string>;
}

/** Creates a cell whose gangs are eligible on a third of the runners, with slow answers. */
async function createBusyCell(load: {
  queue: string;
  jobsPerS: number;
  tasks: number;
  durationMs: number;
}): Promise<BusyCell> {
  const random = createSeededRandom(7);
  const model = createWorkModel({
    configuration: createModelConfiguration({
      queues: [
        {
          name: "short",
          priority: 0,
          slowdownFactor: 1.5,
          targetMs: 250,
          eligibility: { baseMs: 9, perRunnerMs: 0.1, validMs: 2_000 },
        },
        {
          name: "gang",
          priority: 1,
          slowdownFactor: 2.2,
          targetMs: 1_000,
          eligibility: { baseMs: 430, perRunnerMs: 6.2, validMs: 1_500 },
        },
        { name: "wide", priority: 2, slowdownFactor: 4, targetMs: 3_000 },
      ],
    }),
    callers: Array.from({ length: 20 }, (_, at) => `caller-${at}`),
    isEligible: (runner, step) =>
      !step.startsWith("9") || Number(runner.slice(1)) % 3 === 0,
  });
  for (let at = 0; at < RUNNERS; at += 1) {
    await model.addRunner(`r${at}`, {
      capacity: { processors: 4_000, memoryMb: 16_000, accelerators: 0 },
    });
  }
  let nextId = 1;

  function submit(
    queue: string,
    step: Parameters<typeof createJob>[0][number],
  ): Promise<string> {
    // The first digit identifies gangs.
    const first = queue === "gang" ? "9" : "1";
    const id = first + (nextId++).toString(16).padStart(15, "0");
    return model.submit(id, createJob([step]), { queue }).then(() => id);
  }

  return {
    model,
    submit: (queue, tasks) =>
      submit(queue, {
        tasks,
        gang: true,
        estimatedMs: 3_000,
        resources: { ...SHORT, processors: 2_000 },
      }),
    async runUnderLoad(ms) {
      let due = 0;
      for (let at = 0; at < ms; at += 10) {
        due += load.jobsPerS / 100;
        for (; due >= 1; due -= 1) {
          void submit(load.queue, {
            tasks: load.tasks,
            estimatedMs: load.durationMs * (0.5 + random.nextFloat()),
            resources: SHORT,
          });
        }
        await model.run(10);
      }
    },
  };
}

async function measureStart(cell: BusyCell, tasks: number): Promise<number> {
  const startMs = cell.model.clock.now();
  const submitted = cell.submit("gang", tasks);
  await cell.runUnderLoad(100);
  const id = await submitted;
  while (cell.model.clock.now() - startMs < 20_000) {
    if (cell.model.state.getJob(id)?.state !== "queued") break;
    await cell.runUnderLoad(50);
  }
  return cell.model.clock.now() - startMs;
}

// Scenario: short jobs use 75 of 100 slots while gangs wait for slow tickets.
// Guards against a gang that keeps sending queries because a short job took one
// of its slots between the answer and the start.
t.test("a gang starts once it has its first tickets", async (t) => {
  const cell = await createBusyCell({
    queue: "short",
    jobsPerS: 60,
    tasks: 2,
    durationMs: 1_000,
  });
  await cell.runUnderLoad(3_000);
  for (const tasks of [6, 8, 10, 6, 8, 10]) {
    const waitedMs = await measureStart(cell, tasks);
    // Time for two answers: one about all runners and one for the tickets.
    t.ok(waitedMs < 2_500, `${tasks} tasks waited for ${waitedMs} ms`);
  }
});

// Scenario: less urgent jobs with many tasks fill the pool. Guards against a gang
// that never fits because each freed slot is reused at once.
t.test("a gang gets capacity before less urgent jobs", async (t) => {
  const cell = await createBusyCell({
    queue: "wide",
    jobsPerS: 9,
    tasks: 20,
    durationMs: 1_500,
  });
  await cell.runUnderLoad(6_000);
  const waitedMs = await measureStart(cell, 14);
  t.ok(waitedMs < 5_000, `waited for ${waitedMs} ms`);
});
