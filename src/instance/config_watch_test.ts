import t from "tap";
import { EventEmitter } from "node:events";
import { advanceBy } from "../../test/controller_fakes.ts";
import {
  createManualClock,
  createSilentLogger,
  isFault,
} from "../common/mod.ts";
import type { ConfigUpdate, FleetView, UpdateHistory } from "../fleet/types.ts";
import { decodeFault, type PeerSet } from "../rpc/mod.ts";
import { createConfigSource, type WatchStream } from "./config_source.ts";
import { startConfigWatch } from "./config_watch.ts";

const buildUpdate = (fields: Partial<ConfigUpdate> = {}): ConfigUpdate => ({
  version: 1,
  snapshot: false,
  data: new Uint8Array([1]),
  ageMs: 0,
  ...fields,
});

interface OpenedStream extends EventEmitter {
  source: string;
  isCancelled: boolean;
}

function createWatch() {
  const clock = createManualClock(1_000);
  const opened: OpenedStream[] = [];
  const fake = { version: 1, hasGap: false, confirmed: 0 };
  const watch = startConfigWatch({
    instance: "self",
    view: {
      getVersion: () => fake.version,
      applyUpdate(update: ConfigUpdate) {
        if (fake.hasGap) return "needsFullState";
        fake.version = Math.max(fake.version, update.version);
        return "applied";
      },
      confirmVersion: () => {},
    } as unknown as FleetView,
    peers: {
      get: (source: string) => ({
        openReadStream() {
          const stream = Object.assign(new EventEmitter(), {
            source,
            isCancelled: false,
            cancel() {
              stream.isCancelled = true;
              // A cancelled stream still ends with an error.
              setImmediate(() => stream.emit("error", new Error("cancelled")));
            },
          });
          opened.push(stream);
          return stream;
        },
      }),
    } as unknown as PeerSet,
    clock,
    logger: createSilentLogger(),
    listSources: () => ["one", "two"],
    handleConfirmed: () => fake.confirmed++,
  });
  return { clock, opened, fake, watch };
}

const ENDS: { name: string; run: (stream: OpenedStream) => void }[] = [
  // Guards against waiting on a stream that a frozen source keeps open.
  { name: "stays idle", run: () => {} },
  { name: "breaks", run: (stream) => stream.emit("error", new Error("lost")) },
  { name: "ends", run: (stream) => stream.emit("end") },
];

for (const { name, run } of ENDS) {
  t.test(`the next source is used when a stream ${name}`, async (t) => {
    const { clock, opened, watch } = createWatch();
    run(opened[0]!);
    for (let spent = 0; opened.length < 2 && spent < 3_300; spent += 100) {
      await advanceBy(clock, 100, 100);
    }
    t.same(opened.map(({ source }) => source), ["one", "two"]);
    t.ok(opened[0]!.isCancelled);
    t.notOk(opened[1]!.isCancelled);
    // Guards against stale updates from a dropped stream.
    opened[0]!.emit("data", buildUpdate({ version: 9 }));
    await advanceBy(clock, 1_000, 100);
    t.equal(opened.length, 2);
    watch.stop();
    await advanceBy(clock, 10_000, 100);
    t.equal(opened.length, 2, "nothing is opened after the stop");
  });
}

// Guards against a healthy stream that is dropped while nothing changes.
t.test("a confirmation keeps a stream open", async (t) => {
  const { clock, opened, fake } = createWatch();
  for (let second = 0; second < 10; second++) {
    opened[0]!.emit("data", buildUpdate({ data: new Uint8Array() }));
    await advanceBy(clock, 1_000, 100);
  }
  t.equal(opened.length, 1);
  t.equal(fake.confirmed, 10);
});

const UNCONFIRMED: [string, Partial<ConfigUpdate>][] = [
  ["for a version missing in the view", { version: 5, data: new Uint8Array() }],
  ["by a partitioned source", { ageMs: 60_000 }],
];

// Guards against keys that stay valid because an outdated source confirmed them.
for (const [name, fields] of UNCONFIRMED) {
  t.test(`the view is not confirmed ${name}`, (t) => {
    const { opened, fake } = createWatch();
    opened[0]!.emit("data", buildUpdate(fields));
    t.equal(fake.confirmed, 0);
    t.end();
  });
}

// Guards against a copy that never catches up after missing a version.
t.test("a gap in the versions reopens the stream", async (t) => {
  const { clock, opened, fake } = createWatch();
  fake.hasGap = true;
  opened[0]!.emit("data", buildUpdate({ version: 4 }));
  await advanceBy(clock, 300, 100);
  t.equal(opened.length, 2);
  t.equal(fake.confirmed, 0);
});

function createStream(version: number) {
  const written: ConfigUpdate[] = [];
  const stream = Object.assign(new EventEmitter(), {
    request: { instance: "self", version },
    written,
    isFull: false,
    write(update: ConfigUpdate) {
      written.push(update);
      return !stream.isFull;
    },
    end: () => {},
  });
  return stream;
}

function createSource() {
  const clock = createManualClock(1_000);
  const fake = { version: 3, isReady: true, ageMs: 0 };
  const source = createConfigSource({
    history: {
      buildUpdates: (version: number) =>
        version >= fake.version ? [] : [buildUpdate({ version: fake.version })],
    } as unknown as UpdateHistory,
    clock,
    getAgeMs: () => fake.ageMs,
    isReady: () => fake.isReady,
  });
  const add = (stream: ReturnType<typeof createStream>) =>
    source.addWatcher(stream as unknown as WatchStream);
  return { clock, fake, source, add };
}

// Guards against a slow watcher that exhausts the memory of its source, and
// against updates that it never receives.
t.test("a slow watcher gets missed updates once it has drained", (t) => {
  const { clock, fake, source, add } = createSource();
  const stream = createStream(1);
  stream.isFull = true;
  add(stream);
  t.same(stream.written.map(({ version }) => version), [3]);
  fake.version = 8;
  source.sendUpdates();
  clock.advance(5_000);
  t.equal(stream.written.length, 1);
  stream.isFull = false;
  stream.emit("drain");
  t.same(stream.written.map(({ version }) => version), [3, 8]);
  t.end();
});

// Guards against confirmations from a source that was never up to date.
t.test("a confirmation carries the age of the source's own copy", (t) => {
  const { clock, fake, add } = createSource();
  const stream = createStream(3);
  add(stream);
  fake.ageMs = Infinity;
  clock.advance(2_000);
  t.equal(stream.written.length, 0);
  fake.ageMs = 1_234.5;
  clock.advance(1_000);
  t.match(stream.written, [{ version: 3, ageMs: 1_235 }]);
  t.end();
});

// Guards against an instance that serves an empty configuration after a restart.
t.test("a source that is not ready refuses watchers", (t) => {
  const { fake, source, add } = createSource();
  fake.isReady = false;
  const stream = createStream(0);
  let error: unknown;
  stream.on("error", (found) => error = found);
  add(stream);
  t.ok(isFault(decodeFault(error as never, "one"), "unavailable"));
  t.equal(stream.written.length, 0);
  t.equal(source.countWatchers(), 0);
  t.end();
});

// Guards against a leak of disconnected watchers.
t.test("a disconnected watcher is removed", (t) => {
  const { source, add } = createSource();
  for (const event of ["cancelled", "error", "close"]) {
    const stream = createStream(1);
    add(stream);
    t.equal(source.countWatchers(), 1);
    stream.emit(event, new Error("lost"));
    t.equal(source.countWatchers(), 0, event);
  }
  t.end();
});
