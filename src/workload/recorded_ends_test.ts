/** Ends of runs that the log refuses to record, for example while it is overloaded. */

import t from "tap";
import {
  createJob,
  createModelConfiguration,
  createWorkModel,
} from "../model/mod.ts";
import { getJobState, runCall } from "../../test/work_model_calls.ts";

// The runner is cut off before the end can be recorded. Guards against a start after the
// task was done: the end is listed again after the cut, and acknowledged.
t.test("a listed end that was refused is not taken for a lost run", async (t) => {
  let isOverloaded = false;
  const model = createWorkModel({
    configuration: createModelConfiguration(),
    isRefused: (records) =>
      isOverloaded && records.some(({ kind }) => kind === "end"),
  });
  const faults = await model.addRunner("r1");
  await model.run(2_000);
  const job = createJob([{ estimatedMs: 500 }]);
  await runCall(model, model.submit("job", job));
  await model.run(400);
  await model.addRunner("r2");
  isOverloaded = true;
  await model.run(500);
  faults.isPartitioned = true;
  isOverloaded = false;
  await model.run(4_500);
  faults.isPartitioned = false;
  await model.run(8_000);
  t.equal(getJobState(model, "job"), "completed");
  t.strictSame(model.runners.violations, []);
});

// The same, but the runner crashes, so that the end does not count. Guards against a task
// that never ends.
t.test("a listed end that was refused counts as lost after the lease", async (t) => {
  let isOverloaded = false;
  const model = createWorkModel({
    configuration: createModelConfiguration(),
    isRefused: (records) =>
      isOverloaded && records.some(({ kind }) => kind === "end"),
  });
  await model.addRunner("r1");
  await model.run(2_000);
  const job = createJob([{ estimatedMs: 500 }]);
  await runCall(model, model.submit("job", job));
  await model.run(400);
  await model.addRunner("r2");
  isOverloaded = true;
  await model.run(500);
  model.runners.crash("r1");
  isOverloaded = false;
  await model.run(16_000);
  t.equal(getJobState(model, "job"), "completed");
  t.strictSame(model.runners.violations, []);
});
