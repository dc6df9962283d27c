import t from "tap";
import {
  advanceBy,
  buildAnnouncement,
  buildJob,
  createFakeLog,
  waitForTurn,
} from "../../test/controller_fakes.ts";
import {
  createFault,
  createManualClock,
  createSeededRandom,
  createSilentLogger,
} from "../common/mod.ts";
import { createScheduler } from "../scheduling/mod.ts";
import { createJobRecords, type JobCommand } from "./job_records.ts";
import { createWorkerController } from "./worker_controller.ts";

const FREE_CAPACITY = {
  processors: 100_000,
  memoryMb: 100_000,
  accelerators: 0,
};

/** Lease of 10 s plus the clock rate bound of 1%. */
const LEASE_WAIT_MS = 10_100;

function createFixture(records = createJobRecords()) {
  const clock = createManualClock(1_000_000);
  const log = createFakeLog((commands: readonly JobCommand[]) =>
    commands.map((command) => records.apply(command))
  );
  const scheduler = createScheduler({ random: createSeededRandom(20_261_204) });
  scheduler.setWorkspace({
    workspace: "a",
    weight: 1,
    allotment: FREE_CAPACITY,
  });
  const context = {
    clock,
    log,
    records,
    hasLease: true,
    sent: [] as string[],
    failures: [] as unknown[],
  };
  const controller = createWorkerController({
    epoch: 1,
    scheduler,
    records,
    clock,
    logger: createSilentLogger(),
    propose: log.propose,
    holdsLease: () => context.hasLease,
    sendCommand: (address, { name, body }) =>
      context.sent.push(
        `${name} ${(body as { task: string }).task} ${address}`,
      ),
    handleFailure: (error) => context.failures.push(error),
  });
  return { ...context, context, controller };
}

/** Creates a fixture with a job whose assignment is proposed but not yet applied. */
async function createProposal() {
  const fixture = createFixture();
  const { controller, records, log } = fixture;
  controller.receiveAnnouncement(buildAnnouncement("w"));
  await waitForTurn();
  records.apply({ type: "submitJob", spec: buildJob() });
  controller.addJob(buildJob());
  await waitForTurn();
  if (log.pending[0]?.[0]?.type !== "assign") {
    throw new Error("Cannot find the proposed assignment");
  }
  return fixture;
}

type ProposalFixture = Awaited<ReturnType<typeof createProposal>>;

/** Applies the assignment. The start then waits until an assignment of the same step is recorded. */
async function proposeStart({ controller, records, log }: ProposalFixture) {
  controller.receiveAnnouncement(buildAnnouncement("v"));
  records.apply({ type: "submitJob", spec: buildJob({ id: "k" }) });
  controller.addJob(buildJob({ id: "k" }));
  await log.commitNext();
  t.equal(log.pending[0]?.[0]?.type, "assign");
}

const CASES: {
  name: string;
  /** Events while the assignment is proposed. */
  run: (fixture: ProposalFixture) => Promise<void>;
  sent: string[];
  failures: number;
}[] = [
  {
    // Guards against starting an unrecorded task, which a new leader starts again.
    name: "the record is not applied yet",
    run: ({ clock }) => advanceBy(clock, 5_000),
    sent: [],
    failures: 0,
  },
  {
    name: "the record is applied",
    run: ({ log }) => log.commitNext(),
    sent: ["start j/0/1 http://w"],
    failures: 0,
  },
  {
    // Guards against commands sent by a replaced leader.
    name: "the lease ends first",
    async run(fixture) {
      await proposeStart(fixture);
      fixture.context.hasLease = false;
      await fixture.log.commitNext();
      await advanceBy(fixture.clock, 5_000);
    },
    sent: [],
    failures: 0,
  },
  {
    // Guards against two active controllers in one epoch: the lease stays valid
    // while the successor is rebuilt from the records.
    name: "the controller is stopped first",
    async run(fixture) {
      await proposeStart(fixture);
      fixture.controller.stop();
      await fixture.log.commitNext();
      await advanceBy(fixture.clock, 5_000);
    },
    sent: [],
    failures: 0,
  },
  {
    // Guards against decisions after a proposal with unknown outcome.
    name: "the proposal fails",
    async run({ controller, log, clock }) {
      await log.failNext(createFault("outcomeUnknown", "Cannot propose"));
      controller.receiveAnnouncement(buildAnnouncement("w", { sequence: 2 }));
      await advanceBy(clock, 5_000);
    },
    sent: [],
    failures: 1,
  },
  {
    // Guards against a start on another worker than the recorded one: a new
    // leader would wait only for the lease of the recorded worker.
    name: "the attempt is recorded for another worker",
    async run({ records, log, clock }) {
      records.apply({
        type: "assign",
        job: "j",
        index: 0,
        attempt: 1,
        worker: "other",
      });
      await log.commitNext();
      await advanceBy(clock, 5_000);
    },
    sent: [],
    failures: 1,
  },
];

for (const { name, run, sent, failures } of CASES) {
  t.test(`a start is sent only after its record: ${name}`, async (t) => {
    const fixture = await createProposal();
    await run(fixture);
    t.same(fixture.sent, sent);
    t.equal(fixture.failures.length, failures);
    t.same(fixture.log.pending.length, name.includes("yet") ? 1 : 0);
  });
}

// Guards against running a task twice when its worker is unreachable for the
// new leader but still runs the task under its lease.
t.test("a restored leader waits for the lease of an assigned task", async (t) => {
  const records = createJobRecords();
  records.apply({ type: "submitJob", spec: buildJob() });
  records.apply({
    type: "assign",
    job: "j",
    index: 0,
    attempt: 1,
    worker: "lost",
  });
  const { clock, controller, log, sent } = createFixture(records);
  const startMs = clock.now();
  for (let sequence = 1; sent.length === 0 && sequence < 40; sequence++) {
    controller.receiveAnnouncement(buildAnnouncement("w", { sequence }));
    for (let spent = 0; sent.length === 0 && spent < 1_000; spent += 50) {
      await advanceBy(clock, 50);
      await log.commitAll();
    }
  }
  const waitedMs = clock.now() - startMs;
  t.same(sent, ["start j/0/2 http://w"]);
  t.ok(waitedMs >= LEASE_WAIT_MS, `placed again after ${waitedMs} ms`);
  t.ok(waitedMs < LEASE_WAIT_MS + 2_000, `placed again after ${waitedMs} ms`);
});

// Guards against running a task twice while its worker still reports it.
t.test("a restored leader keeps a task that its worker reports", async (t) => {
  const records = createJobRecords();
  records.apply({ type: "submitJob", spec: buildJob() });
  records.apply({
    type: "assign",
    job: "j",
    index: 0,
    attempt: 1,
    worker: "w",
  });
  const { clock, controller, log, sent } = createFixture(records);
  for (let sequence = 1; sequence < 30; sequence++) {
    const reply = controller.receiveAnnouncement(
      buildAnnouncement("w", {
        sequence,
        tasks: [{ job: "j", index: 0, attempt: 1, state: "running" }],
      }),
    );
    t.same(reply.renewed, ["j/0/1"]);
    controller.receiveAnnouncement(buildAnnouncement("v", { sequence }));
    await advanceBy(clock, 1_000);
    await log.commitAll();
  }
  t.same(sent, []);
});
