import { Buffer } from "node:buffer";
import t from "tap";
import { createManualClock } from "../common/mod.ts";
import type { AnnouncementReply } from "../rpc/mod.ts";
import {
  BATCH_MAX_COUNT,
  BATCH_WINDOW_MS,
  createAnnouncementBatches,
} from "./announcement_batches.ts";

const NONE = new Uint8Array(0);

function createEchoBatches(sizes: number[]) {
  const clock = createManualClock();
  const batches = createAnnouncementBatches({
    clock,
    sendBatch: (_dataCentre, { bodies }) => {
      sizes.push(bodies.length);
      const replies = bodies.map((body): AnnouncementReply => {
        const text = Buffer.from(body).toString();
        const fault = { kind: "badRequest", message: "bad", ran: "no" };
        return text === "bad"
          ? { body: NONE, fault: Buffer.from(JSON.stringify(fault)) }
          : { body: Buffer.from(JSON.stringify(text)), fault: NONE };
      });
      return Promise.resolve({ replies });
    },
  });
  const send = (text: string, dataCentre = "north") =>
    batches.send(dataCentre, Buffer.from(text)).catch(({ kind }) => kind);
  return { clock, send };
}

// Guards against a worker that gets the leases of another one, and against a
// malformed announcement that costs the other workers of its batch their leases.
t.test("each announcement gets its own reply", async (t) => {
  const sizes: number[] = [];
  const { clock, send } = createEchoBatches(sizes);
  const replies = ["a", "bad", "c"].map((text) => send(text));
  const elsewhere = send("d", "south");
  clock.advance(BATCH_WINDOW_MS);
  t.strictSame(await Promise.all(replies), ["a", "badRequest", "c"]);
  t.equal(await elsewhere as unknown, "d");
  t.strictSame(sizes, [3, 1]);
});

// Guards against messages that grow without limit with the number of workers.
t.test("a full batch does not wait for the window", async (t) => {
  const sizes: number[] = [];
  const { clock, send } = createEchoBatches(sizes);
  const replies = Array.from(
    { length: BATCH_MAX_COUNT + 1 },
    (_, index) => send(String(index)),
  );
  clock.advance(BATCH_WINDOW_MS);
  const answers = await Promise.all(replies);
  t.equal(answers.at(-1) as unknown, String(BATCH_MAX_COUNT));
  t.strictSame(sizes, [BATCH_MAX_COUNT, 1]);
});
