import t from "tap";
import { buildJob } from "../../test/controller_fakes.ts";
import {
  createJobRecords,
  ENDED_JOBS_KEPT_COUNT,
  type JobCommand,
  type JobCommandResult,
  type JobRecords,
} from "./job_records.ts";

const submit: JobCommand = { type: "submitJob", spec: buildJob() };
const cancel: JobCommand = { type: "cancelJob", job: "j" };
const finish: JobCommand = { type: "endJob", job: "j", state: "finished" };

const assign = (attempt: number, worker = "w"): JobCommand => ({
  type: "assign",
  job: "j",
  index: 0,
  attempt,
  worker,
});

const end = (
  attempt: number,
  fields: Partial<JobCommand & { type: "endTask" }> = {},
): JobCommand => ({
  type: "endTask",
  job: "j",
  index: 0,
  attempt,
  outcome: "lost",
  final: false,
  failures: 0,
  ...fields,
});

const endForGood = (attempt: number) =>
  end(attempt, { outcome: "finished", final: true, exitCode: 0 });

function render(records: JobRecords): string {
  return JSON.stringify(records.toJson());
}

const CASES: {
  /** Failure that the rejection prevents. */
  name: string;
  before: JobCommand[];
  command: JobCommand;
  result: JobCommandResult;
}[] = [
  {
    name: "a resent submission runs the job again",
    before: [submit, assign(1)],
    command: {
      type: "submitJob",
      spec: buildJob({ submittedWallMs: 5 }),
    },
    result: "exists",
  },
  {
    name: "a second job replaces the first with the same identifier",
    before: [submit],
    command: { type: "submitJob", spec: buildJob({ tasks: 2 }) },
    result: "conflict",
  },
  {
    name: "a task of an unknown job is recorded",
    before: [],
    command: assign(1),
    result: "unknownJob",
  },
  {
    name: "a duplicate assignment counts twice",
    before: [submit, assign(1)],
    command: assign(1),
    result: "stale",
  },
  {
    name: "one attempt runs on two workers",
    before: [submit, assign(1)],
    command: assign(1, "v"),
    result: "stale",
  },
  {
    name: "a new attempt runs while the previous one has not ended",
    before: [submit, assign(1)],
    command: assign(2, "v"),
    result: "stale",
  },
  {
    name: "an ended attempt is assigned again",
    before: [submit, assign(1), end(1)],
    command: assign(1),
    result: "stale",
  },
  {
    name:
      "the late end of an old attempt releases the worker of the current one",
    before: [submit, assign(1), end(1), assign(2)],
    command: endForGood(1),
    result: "stale",
  },
  {
    name: "a task with a final outcome is assigned again",
    before: [submit, assign(1), endForGood(1)],
    command: assign(2),
    result: "stale",
  },
  {
    name: "a second end replaces the outcome",
    before: [submit, assign(1), endForGood(1)],
    command: end(1, { outcome: "failed", final: true, failures: 1 }),
    result: "stale",
  },
  {
    name: "an ended job is assigned again",
    before: [submit, finish],
    command: assign(1),
    result: "stale",
  },
  {
    name: "an ended job is cancelled",
    before: [submit, finish],
    command: cancel,
    result: "stale",
  },
  {
    name: "a second end replaces the final state of the job",
    before: [submit, finish],
    command: { type: "endJob", job: "j", state: "failed" },
    result: "stale",
  },
];

for (const { name, before, command, result } of CASES) {
  t.test(`rejected without effect, otherwise ${name}`, (t) => {
    const records = createJobRecords();
    for (const earlier of before) t.equal(records.apply(earlier), "applied");
    const rendered = render(records);
    t.equal(records.apply(command), result);
    t.equal(render(records), rendered);
    t.end();
  });
}

// Guards against records that depend on how often a command is proposed.
t.test("applying each command twice gives the same records as once", (t) => {
  const commands = [
    submit,
    assign(1),
    end(1, { outcome: "failed", failures: 1 }),
    assign(2, "v"),
    cancel,
    endForGood(2),
    finish,
  ];
  const once = createJobRecords();
  const twice = createJobRecords();
  for (const command of commands) {
    once.apply(command);
    twice.apply(command);
    twice.apply(command);
    t.equal(render(twice), render(once), command.type);
  }
  t.end();
});

// Guards against removing running jobs, and against a restored member that
// removes jobs in a different order from the other members.
t.test("only ended jobs are removed, in the order in which they ended", (t) => {
  const records = createJobRecords();
  records.apply(submit);
  for (let at = 0; at <= ENDED_JOBS_KEPT_COUNT; at++) {
    records.apply({ type: "submitJob", spec: buildJob({ id: `k${at}` }) });
  }
  records.apply({ type: "endJob", job: "k1", state: "finished" });
  const restored = createJobRecords();
  restored.restoreJson(JSON.parse(render(records)));
  for (const each of [records, restored]) {
    for (let at = 0; at <= ENDED_JOBS_KEPT_COUNT; at++) {
      each.apply({ type: "endJob", job: `k${at}`, state: "finished" });
    }
    t.equal(each.get("k1"), undefined);
    t.not(each.get("k0"), undefined);
    t.same(each.listOpen().map(({ spec }) => spec.id), ["j"]);
  }
  t.equal(render(restored), render(records));
  t.end();
});
