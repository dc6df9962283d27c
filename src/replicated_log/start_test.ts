import t from "tap";
import { createManualClock, createSeededRandom } from "../common/mod.ts";
import { createMemoryStorage } from "./memory_storage.ts";
import { type LogStart, resolveLogStart } from "./start.ts";
import type { HistoryReply, LogMessage } from "./types.ts";

/** Starts to decide for "a" of members a, b and c, with an empty store. */
async function startResolver(isFirstStart?: boolean) {
  const clock = createManualClock();
  const sent: LogMessage[] = [];
  const members = ["a", "b", "c"].map((id) => ({
    id,
    role: "voter" as const,
  }));
  const resolver = resolveLogStart({
    group: "test",
    instance: "a",
    members,
    isFirstStart,
    storage: createMemoryStorage(),
    transport: { send: (_, message) => void sent.push(message) },
    clock,
    random: createSeededRandom(1),
  });
  let decision: LogStart | undefined;
  void resolver.decision.then((value) => decision = value);

  async function run(ms: number): Promise<void> {
    for (let passedMs = 0; passedMs < ms; passedMs += 50) {
      clock.advance(50);
      await new Promise((resolve) => setImmediate(resolve));
    }
  }

  await run(100);
  const request = sent.find(({ kind }) => kind === "historyRequest");
  const nonce = request?.kind === "historyRequest" ? request.nonce : "";
  return {
    run,
    resolver,
    sent,
    getMode: () => decision?.mode,
    reply(from: string, reply: Partial<HistoryReply> = {}): void {
      resolver.receive(from, {
        kind: "historyReply",
        to: "a",
        nonce,
        hasHistory: false,
        ...reply,
      });
    },
  };
}

// Guards against a group that never forms as one member was lost in the first start.
t.test("a majority of first starts forms the group after a time", async (t) => {
  const { run, reply, getMode } = await startResolver(true);
  reply("b", { isIntact: true });
  await run(1_500);
  t.equal(getMode(), undefined, "the third one may still reply");
  await run(1_000);
  reply("b", { isIntact: true });
  await run(50);
  t.equal(getMode(), "bootstrap");
});

t.test("all replies form the group at once", async (t) => {
  const { run, reply, getMode } = await startResolver();
  reply("b");
  reply("c");
  await run(50);
  t.equal(getMode(), "bootstrap");
});

// Guards against a second history: a store that may have been lost proves nothing.
t.test("a majority with a store that may be lost does not form the group", async (t) => {
  const first = await startResolver(true);
  const later = await startResolver(false);
  for (let second = 0; second < 10; second += 1) {
    first.reply("b");
    later.reply("b", { isIntact: true });
    await first.run(1_000);
    await later.run(1_000);
  }
  t.equal(first.getMode(), undefined);
  t.equal(later.getMode(), undefined);
});

t.test("a member with history makes a first start join", async (t) => {
  const { run, reply, getMode } = await startResolver(true);
  reply("b", { isIntact: true });
  await run(3_000);
  reply("c", { hasHistory: true });
  await run(50);
  t.equal(getMode(), "join");
});

t.test("only a first start replies that its store is intact", async (t) => {
  const request = { kind: "historyRequest", to: "a", nonce: "n" } as const;
  const first = await startResolver(true);
  first.resolver.receive("b", request);
  t.match(first.sent.at(-1), { hasHistory: false, isIntact: true });
  const later = await startResolver(false);
  later.resolver.receive("b", request);
  t.match(later.sent.at(-1), { hasHistory: false, isIntact: undefined });
});
