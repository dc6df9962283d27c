import t from "tap";
import { Buffer } from "node:buffer";
import { buildJob } from "../../test/controller_fakes.ts";
import { isFault } from "../common/mod.ts";
import { NO_LIMITS } from "../fleet/mod.ts";
import {
  createDataCentreState,
  type DataCentreCommand,
  encodeDataCentreCommand,
} from "./state.ts";

const slots = (count: number) => ({ ...NO_LIMITS, slots: count });
const grant = (workspace: string) => ({
  workspace,
  grant: slots(10),
  cut: NO_LIMITS,
});

const TRANSFER = {
  id: "b/a/1",
  from: "b",
  to: "a",
  workspace: "t",
  amount: slots(2),
};

const start = (requestId: string): DataCentreCommand => ({
  part: "requests",
  command: {
    type: "start",
    scope: "t",
    requestId,
    runId: `run of ${requestId}`,
    bodyHash: "00",
    atMs: 1_000,
    endsAtMs: 2_000,
  },
});

const COMMANDS: DataCentreCommand[] = [
  { part: "jobs", commands: [{ type: "submitJob", spec: buildJob() }] },
  {
    part: "jobs",
    commands: [
      { type: "assign", job: "j", index: 0, attempt: 1, worker: "w" },
      { type: "submitJob", spec: buildJob({ id: "k" }) },
      { type: "cancelJob", job: "k" },
    ],
  },
  {
    part: "allotments",
    command: {
      type: "applyConfiguration",
      fromVersion: 0,
      version: 1,
      changes: [grant("t")],
    },
  },
  {
    part: "allotments",
    command: { type: "transferOut", to: "b", workspace: "t", amount: slots(3) },
  },
  { part: "allotments", command: { type: "transferIn", transfer: TRANSFER } },
  start("q"),
];

function createState() {
  const state = createDataCentreState({ dataCentre: "a" });
  for (const [at, command] of COMMANDS.entries()) {
    state.apply(encodeDataCentreCommand(command), at + 1);
  }
  return state;
}

const render = (state: ReturnType<typeof createState>) =>
  Buffer.from(state.takeSnapshot()).toString("latin1");

// Guards against a member that gives different results after a snapshot restore.
t.test("a restored state gives the same results", (t) => {
  const state = createState();
  const restored = createDataCentreState({ dataCentre: "a" });
  restored.restoreSnapshot(state.takeSnapshot());
  t.equal(render(restored), render(state));
  t.equal(restored.jobs.get("j")?.tasks.get(0)?.worker, "w");
  t.equal(restored.allotments.getHeld("t").slots, 9);
  // Repeated commands are included, since rejections must agree as well.
  const more: DataCentreCommand[] = [
    ...COMMANDS,
    start("r"),
    start("r"),
    {
      part: "requests",
      command: {
        type: "finish",
        scope: "t",
        requestId: "r",
        runId: "run of r",
        atMs: 1_500,
        answer: { status: 200, contentType: "", body: new Uint8Array([1]) },
      },
    },
    {
      part: "allotments",
      command: { type: "transferAcknowledged", transferId: "a/b/1" },
    },
  ];
  for (const [at, command] of more.entries()) {
    const bytes = encodeDataCentreCommand(command);
    const index = COMMANDS.length + at + 1;
    const [one, two] = [state, restored].map((each) =>
      each.apply(bytes, index)
    );
    t.same(
      isFault(two) ? two.message : two,
      isFault(one) ? one.message : one,
      JSON.stringify(command),
    );
  }
  t.equal(render(restored), render(state));
  t.end();
});

// Guards against a transfer or a configuration that takes effect twice.
t.test("repeated commands change nothing", (t) => {
  const state = createState();
  const rendered = render(state);
  for (const command of COMMANDS) {
    // Each `transferOut` starts a new transfer, numbered when it is applied.
    if (JSON.stringify(command).includes("transferOut")) continue;
    state.apply(encodeDataCentreCommand(command), 100);
    t.equal(render(state), rendered, JSON.stringify(command));
  }
  t.end();
});

const toBytes = (part: number, value: unknown) =>
  Buffer.concat([Buffer.from([part]), Buffer.from(JSON.stringify(value))]);
const newJob = { type: "submitJob", spec: buildJob({ id: "new" }) };
const configuration = {
  type: "applyConfiguration",
  fromVersion: 1,
  version: 2,
};

const UNREADABLE: [string, Buffer][] = [
  ["empty", Buffer.alloc(0)],
  ["unknown part", toBytes(9, [newJob])],
  ["invalid JSON", Buffer.from([1, 123])],
  ["job commands that are not an array", toBytes(1, { 0: newJob })],
  ["null as job command", toBytes(1, [newJob, null])],
  ["job command without a spec", toBytes(1, [newJob, { type: "submitJob" }])],
  ["unknown job command", toBytes(1, [newJob, { type: "new", job: "j" }])],
  ["null as allotment command", toBytes(2, null)],
  ["unknown allotment command", toBytes(2, { type: "new" })],
  [
    "a change without amounts",
    toBytes(2, { ...configuration, changes: [grant("t"), { workspace: "u" }] }),
  ],
  [
    "a change with some of the amounts",
    toBytes(2, {
      ...configuration,
      changes: [{ ...grant("t"), grant: { slots: 1 } }],
    }),
  ],
  ["request command without a body", Buffer.from([3])],
  ["request command with invalid JSON", Buffer.from([3, 255, 1, 2, 3])],
  ["unknown request command", toBytes(3, { type: "new" })],
  ["request command without a key", toBytes(3, { type: "start" })],
];

// Guards against members that diverge after one of them applies a command in
// part, and against a leader that treats such a command as applied.
for (const [name, bytes] of UNREADABLE) {
  t.test(`an unreadable command changes nothing: ${name}`, (t) => {
    const state = createState();
    const rendered = render(state);
    const result = state.apply(bytes, 100);
    t.ok(isFault(result), `result ${JSON.stringify(result)}`);
    t.equal(render(state), rendered);
    t.end();
  });
}
