import t from "tap";
import { advanceBy } from "../../test/controller_fakes.ts";
import { createManualClock } from "../common/mod.ts";
import { createRecordQueue } from "./record_queue.ts";
import type { WorkRecord } from "./types.ts";

function createRecord(number: number): WorkRecord {
  return { kind: "cancel", job: `job-${number}`, atMs: number };
}

/** Creates a queue whose commands take `commitMs` to commit. */
function startQueue(commitMs: number) {
  const clock = createManualClock(0);
  const sizes: number[] = [];
  let open = 0;
  let mostOpen = 0;
  const queue = createRecordQueue({
    clock,
    propose(records) {
      sizes.push(records.length);
      open += 1;
      mostOpen = Math.max(mostOpen, open);
      return new Promise((resolve) =>
        void clock.setTimer(commitMs, () => {
          open -= 1;
          resolve();
        })
      );
    },
  });
  const run = (ms: number) => advanceBy(clock, ms, 1);
  return { queue, sizes, run, getMostOpen: () => mostOpen };
}

// Scenario: 500 starts and ends per second on disks with a latency of 40 ms.
t.test("commands become larger under load, not more frequent", async (t) => {
  const { queue, sizes, run, getMostOpen } = startQueue(40);
  let ended = 0;
  for (let number = 0; number < 1_000; number += 1) {
    void queue.record([createRecord(number)]).then(() => ended += 1);
    await run(1);
  }
  await run(200);
  t.equal(ended, 1_000);
  t.equal(sizes.reduce((sum, size) => sum + size, 0), 1_000);
  t.equal(getMostOpen(), 1);
  t.ok(sizes.length <= 1_000 / 40 + 2, `${sizes.length} commands`);
});

t.test("a record on an idle log only waits for its batch", async (t) => {
  const { queue, sizes, run } = startQueue(12);
  let isEnded = false;
  void queue.record([createRecord(1)]).then(() => isEnded = true);
  await run(24);
  t.ok(isEnded);
  t.strictSame(sizes, [1]);
});

t.test("a refused command does not block the next one", async (t) => {
  const clock = createManualClock(0);
  let calls = 0;
  const queue = createRecordQueue({
    clock,
    propose() {
      calls += 1;
      return calls <= 2 ? Promise.reject(new Error("full")) : Promise.resolve();
    },
  });
  for (let number = 0; number < 3; number += 1) {
    const ended = queue.record([createRecord(number)]);
    const outcome = ended.then(() => "done", () => "refused");
    clock.advance(10);
    t.equal(await outcome, number < 2 ? "refused" : "done");
  }
});
