import t from "tap";
import { Buffer } from "node:buffer";
import {
  buildJob,
  createFakeLog,
  waitForTurn,
} from "../../test/controller_fakes.ts";
import {
  createManualClock,
  createSeededRandom,
  createSilentLogger,
} from "../common/mod.ts";
import { createDataCentreState } from "../data_centre/state.ts";
import type { FleetView } from "../fleet/mod.ts";
import type { ReplicatedLog } from "../replicated_log/mod.ts";
import type { Settings } from "../settings/mod.ts";
import type { Observer } from "./observer.ts";
import { createWorkService } from "./work_service.ts";

// Guards against a job recorded after rebuilt controllers have read the state:
// it would not be placed until the next leader change.
t.test("rebuilt controllers include earlier proposals", async (t) => {
  const clock = createManualClock(1_000_000);
  const state = createDataCentreState({ dataCentre: "a" });
  const log = createFakeLog((command: Uint8Array) => ({
    index: 1,
    term: 1,
    result: state.apply(command, 1),
  }));
  const lease = { term: 1, validUntilMs: Infinity };
  const service = createWorkService({
    settings: {
      instance: "a0",
      dataCentre: "a",
      scheduling: { weights: "share", usageSafetyMargin: 0.1 },
      tasks: { leaseMs: 3_000, announcePeriodMs: 500 },
      requests: {
        queueLength: 10,
        grantValidMs: 1_000,
        connectionsPerEndpoint: 1,
      },
    } as unknown as Settings,
    state,
    view: {
      getState: () => ({
        workspaces: new Map(),
        dataCentres: ["a"],
        evacuatedDataCentres: [],
        version: 0,
      }),
      watchVersion: () => () => {},
    } as unknown as FleetView,
    clock,
    random: createSeededRandom(20_261_204),
    logger: createSilentLogger(),
    observer: { metrics: { recordDuration: () => {} } } as unknown as Observer,
    getLog: () =>
      ({
        propose: log.propose,
        getLease: () => lease,
        confirmLeadership: () => Promise.resolve(),
      }) as unknown as ReplicatedLog,
    getLeader: () => undefined,
    sendAsk: () => Promise.reject(new Error("no peer")),
    sendTransfer: () => Promise.reject(new Error("no peer")),
  });
  t.teardown(() => service.stop());
  service.handleLeadership(lease);
  await waitForTurn();
  await log.commitAll();
  const { submittedWallMs: _, workspace, ...job } = buildJob();
  const request = { workspace, job: Buffer.from(JSON.stringify(job)) };
  const submitted = service.handlers["submitJob"]!(request, {
    signal: new AbortController().signal,
  }).catch(() => {});
  service.handleLeadership(lease);
  await waitForTurn();
  t.equal(service.getLeadership(), undefined, "waits for the open proposal");
  await log.commitAll();
  await submitted;
  t.ok(service.getLeadership()?.scheduler.getJob("j"));
});
