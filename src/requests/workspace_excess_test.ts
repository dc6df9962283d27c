import t from "tap";
import { createManualClock } from "../common/mod.ts";
import {
  acquireNow,
  buildAnnouncement,
  createController,
  READY_MS,
} from "../../test/requests_helpers.ts";

const LIMIT = 3;

function createLimited(announced: Record<string, unknown>) {
  const clock = createManualClock(0);
  const controller = createController(clock, {
    getPolicy: () => ({ weight: 1, slotLimit: LIMIT }),
  });
  clock.advance(READY_MS);
  controller.receiveAnnouncement(buildAnnouncement(announced));
  const countGrants = async (workspace: string) => {
    let count = 0;
    while (await acquireNow(controller, { workspace }) !== undefined) {
      count += 1;
    }
    return count;
  };
  return { clock, controller, countGrants };
}

// Guards against a new leader that admits the full slot limit in addition to
// requests of its predecessor.
t.test("requests of a previous leader count against their workspace", async (t) => {
  const inFlightByWorkspace = { lace: 2, toys: 1 };
  const { controller, countGrants } = createLimited({
    inFlight: 3,
    inFlightByWorkspace,
  });
  t.equal(await countGrants("lace"), LIMIT - 2);
  t.equal(await countGrants("toys"), LIMIT - 1);
  const running = controller.getStatus().workspaces
    .map(({ workspace, running }) => [workspace, running]);
  t.strictSame(running, [["lace", LIMIT], ["toys", LIMIT]]);
});

// Guards against ignoring requests if the endpoint does not report by workspace.
t.test("requests of unknown workspace count against every workspace", async (t) => {
  const { controller, countGrants } = createLimited({ inFlight: 2 });
  t.equal(await countGrants("lace"), LIMIT - 2);
  t.equal(await countGrants("toys"), LIMIT - 2);
  controller.receiveAnnouncement(buildAnnouncement({ inFlight: 0 }));
  t.equal(await countGrants("lace"), 2, "free once the endpoint reports fewer");
});

// Guards against exceeding the limit because of requests with a lost connection.
t.test("a request with unknown outcome counts until the endpoint reports fewer", async (t) => {
  const { clock, controller, countGrants } = createLimited({});
  const grant = await acquireNow(controller, { workspace: "lace" });
  controller.release(grant?.token ?? "", "unknown", 10);
  t.equal(await countGrants("lace"), LIMIT - 1);
  const report = (count: number) =>
    controller.receiveAnnouncement(
      buildAnnouncement({
        inFlight: count,
        inFlightByWorkspace: { lace: count },
      }),
    );
  report(0);
  t.equal(await countGrants("lace"), 0, "it may not have arrived yet");
  clock.advance(3_000);
  report(LIMIT);
  t.equal(await countGrants("lace"), 0, "it is still running");
  report(0);
  t.equal(await countGrants("lace"), 1, "one has ended");
});
