import t from "tap";
import { advanceBy } from "../../test/controller_fakes.ts";
import { createFault, createManualClock } from "../common/mod.ts";
import { createMembership, type InstanceState } from "./membership.ts";

const build = (fields: Partial<InstanceState> = {}): InstanceState => ({
  instance: "near",
  dataCentre: "kochi",
  incarnation: 1,
  configVersion: 1,
  dataCentreLeader: "",
  dataCentreEpoch: 0,
  fleetLeader: "",
  stopping: false,
  ...fields,
});

function createFixture() {
  const clock = createManualClock(1_000);
  const down = new Set<string>();
  const sent: string[] = [];
  const membership = createMembership({
    peers: [
      { instance: "near", dataCentre: "kochi" },
      { instance: "far", dataCentre: "salem" },
    ],
    dataCentre: "kochi",
    clock,
    getOwnState: () => build({ instance: "self" }),
    sendHeartbeat(instance) {
      sent.push(instance);
      if (down.has(instance)) {
        return Promise.reject(createFault("unavailable", "Cannot reach"));
      }
      const dataCentre = instance === "far" ? "salem" : "kochi";
      return Promise.resolve(build({ instance, dataCentre }));
    },
  });
  return { clock, down, sent, membership };
}

// Guards against suspecting a peer after one lost heartbeat, and against
// counting a stopped peer as alive for long. The bounds are three missed
// heartbeats of 500 ms (1 s between data centres) with one more in progress.
for (
  const [instance, keptMs, goneMs] of [
    ["near", 1_500, 2_100],
    ["far", 3_000, 4_100],
  ] as const
) {
  t.test(`${instance}: an unresponsive peer is suspected after three heartbeats`, async (t) => {
    const { clock, down, membership } = createFixture();
    t.notOk(membership.isAlive(instance), "no heartbeat received yet");
    await advanceBy(clock, 2_000, 100);
    t.ok(membership.isAlive(instance));
    down.add(instance);
    await advanceBy(clock, keptMs, 100);
    t.ok(membership.isAlive(instance), "within three heartbeats");
    await advanceBy(clock, goneMs - keptMs, 100);
    t.notOk(membership.isAlive(instance), "after three heartbeats");
    t.equal(membership.get(instance)?.alive, false);
    down.delete(instance);
    await advanceBy(clock, 1_000, 100);
    t.ok(membership.isAlive(instance), "heartbeats received again");
  });
}

// Guards against a late heartbeat of an earlier process restoring its leader.
t.test("an older incarnation is ignored", (t) => {
  const { membership } = createFixture();
  membership.receiveHeartbeat(build({ incarnation: 2, fleetLeader: "new" }));
  membership.receiveHeartbeat(build({ incarnation: 1, fleetLeader: "old" }));
  t.equal(membership.get("near")?.fleetLeader, "new");
  t.equal(membership.list().length, 1);
  t.end();
});

// Guards against heartbeats from a stopped instance.
t.test("no heartbeats are sent after the stop", async (t) => {
  const { clock, sent, membership } = createFixture();
  clock.advance(0);
  // The answers to the first heartbeats are still in flight.
  membership.stop();
  const count = sent.length;
  await advanceBy(clock, 5_000, 100);
  t.equal(sent.length, count);
});
