import t from "tap";
import { createSeededRandom, createSystemClock } from "../common/mod.ts";
import { buildExpectedFault } from "../../test/requests_helpers.ts";
import { createMemoryStorage } from "./memory_storage.ts";
import { RECOVERY_TERM_STEP, restoreGroup } from "./recover.ts";
import { createReplicatedLog } from "./replicated_log.ts";
import type { LogStorage } from "./types.ts";

async function createStore(role: "voter" | "witness"): Promise<LogStorage> {
  const storage = createMemoryStorage();
  await storage.saveVote({ member: "a", term: 4, votedFor: "b" });
  const encode = (text: string) => new TextEncoder().encode(text);
  await storage.append([
    {
      index: 1,
      term: 1,
      kind: "members",
      data: new Uint8Array(0),
      members: [
        { id: "a", role },
        { id: "b", role: "voter" },
        { id: "c", role: "voter" },
      ],
    },
    { index: 2, term: 4, kind: "command", data: encode("kept") },
  ]);
  return storage;
}

// Guards against a data centre that never has a leader again after most of its members are lost.
t.test("a survivor leads again with its whole log", async (t) => {
  const storage = await createStore("voter");
  const summary = await restoreGroup(storage);
  t.strictSame(summary.members, [{ id: "a", role: "voter" }]);
  const applied: string[] = [];
  const log = await createReplicatedLog({
    group: "g",
    self: "a",
    storage,
    transport: { send() {} },
    clock: createSystemClock(),
    random: createSeededRandom(1),
    stateMachine: {
      apply: (command) => applied.push(new TextDecoder().decode(command)),
      takeSnapshot: () => new Uint8Array(0),
      restoreSnapshot: () => {},
    },
    timings: {
      heartbeatMs: 10,
      electionTimeoutMinMs: 50,
      electionTimeoutMaxMs: 100,
    },
  });
  const keepAlive = setInterval(() => {}, 1_000);
  while (log.getLease() === undefined) {
    await new Promise((resolve) => setTimeout(resolve, 10));
  }
  const { term } = await log.propose(new TextEncoder().encode("new"));
  clearInterval(keepAlive);
  t.strictSame(applied, ["kept", "new"]);
  t.ok(term > 4 + RECOVERY_TERM_STEP, "above every epoch of the lost group");
  await log.stop();
});

// Guards against a group restored from a member that cannot lead it, or from an empty store.
t.test("a witness or an empty store is refused", async (t) => {
  await t.rejects(
    restoreGroup(await createStore("witness")),
    buildExpectedFault("badRequest"),
  );
  await t.rejects(
    restoreGroup(createMemoryStorage()),
    buildExpectedFault("notFound"),
  );
});
