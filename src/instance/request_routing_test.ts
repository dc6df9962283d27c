import t from "tap";
import { advanceBy } from "../../test/controller_fakes.ts";
import {
  createFault,
  createManualClock,
  createSeededRandom,
  createSilentLogger,
  type Fault,
  type FaultKind,
  type Ran,
} from "../common/mod.ts";
import type { FleetView } from "../fleet/mod.ts";
import type { AdmittedRequest } from "../http/mod.ts";
import type { Forwarder, RetryBudget } from "../requests/mod.ts";
import type { LeaderCalls } from "./leader_calls.ts";
import { createRequestRouting } from "./request_routing.ts";

type Outcome = "ok" | { fault: FaultKind; ran?: Ran };

const REQUEST: AdmittedRequest = {
  requestId: "r1",
  scope: "t",
  workspace: "t",
  queue: "orders",
  idempotent: true,
  isCallerNamed: true,
  remainingMs: 5_000,
  contentType: "text/plain",
  body: new Uint8Array(),
} as unknown as AdmittedRequest;

/** Runs a request; `outcomes` holds the reply of each data centre, "ok" by default. */
async function runRequest(
  outcomes: Record<string, Outcome>,
  request: Partial<AdmittedRequest> = {},
  evacuatedDataCentres: string[] = [],
) {
  const clock = createManualClock(1_000);
  const asked: string[] = [];
  let sent = 0;
  const routing = createRequestRouting({
    instance: "self",
    dataCentre: "own",
    view: {
      getState: () => ({
        dataCentres: ["own", "near", "far"],
        evacuatedDataCentres,
      }),
    } as unknown as FleetView,
    calls: {
      findLeader: () => undefined,
      call(method: string, _request: unknown, options: { dataCentre: string }) {
        if (method !== "acquireSlot") return Promise.resolve({});
        asked.push(options.dataCentre);
        const outcome = outcomes[options.dataCentre] ?? "ok";
        if (outcome !== "ok") {
          const { fault, ran } = outcome;
          return Promise.reject(
            createFault(
              fault,
              "Cannot serve",
              ran === undefined ? {} : { ran },
            ),
          );
        }
        const grant = {
          token: "1",
          endpoint: "e",
          address: "http://e",
          epoch: 1,
          validForMs: 1_000,
        };
        return Promise.resolve({ outcome: "grant", grant });
      },
    } as unknown as LeaderCalls,
    forwarder: {
      send() {
        sent++;
        const body = new Uint8Array();
        return Promise.resolve({
          kind: "answered",
          answer: { status: 200, contentType: "", body, durationMs: 1 },
        });
      },
    } as unknown as Forwarder,
    retryBudget: {
      take: () => false,
      recordRequest: () => {},
    } as unknown as RetryBudget,
    findHome: () => "far",
    listOthers: () => ["near", "far"],
    clock,
    random: createSeededRandom(20_261_204),
    logger: createSilentLogger(),
  });
  const outcome = routing.execute({ ...REQUEST, ...request }).then(
    ({ status }) => String(status),
    (error: Fault | undefined) => `${error?.kind}, ran ${error?.ran}`,
  );
  await advanceBy(clock, 10_000, 100);
  return { outcome: await outcome, asked: [...new Set(asked)], sent };
}

const CASES: {
  /** Expected behaviour. */
  name: string;
  outcomes?: Record<string, Outcome>;
  request?: Partial<AdmittedRequest>;
  evacuated?: string[];
  outcome: string;
  asked: string[];
}[] = [
  {
    name: "runs in the local data centre if possible",
    outcome: "200",
    asked: ["own"],
  },
  {
    name: "runs in a remote data centre if the local one has no leader",
    outcomes: { own: { fault: "unavailable" }, near: { fault: "overloaded" } },
    outcome: "200",
    asked: ["own", "near", "far"],
  },
  {
    name: "fails with the refusal of the local data centre",
    outcomes: {
      own: { fault: "overloaded" },
      near: { fault: "unavailable" },
      far: { fault: "unavailable" },
    },
    outcome: "overloaded, ran no",
    asked: ["own", "near", "far"],
  },
  {
    name: "is not retried elsewhere after a fault of the caller",
    outcomes: { own: { fault: "limitReached" } },
    outcome: "limitReached, ran no",
    asked: ["own"],
  },
  {
    name: "is not retried elsewhere if it may have run",
    outcomes: { own: { fault: "unavailable", ran: "unknown" } },
    outcome: "unavailable, ran unknown",
    asked: ["own"],
  },
  {
    name: "is retried elsewhere if the leader is lost before a grant",
    outcomes: { own: { fault: "outcomeUnknown" } },
    outcome: "200",
    asked: ["own", "near"],
  },
  {
    name: "runs where its record is if not idempotent",
    request: { idempotent: false },
    outcome: "200",
    asked: ["far"],
  },
  {
    name: "fails if not idempotent and its home is unreachable",
    outcomes: { far: { fault: "unavailable" } },
    request: { idempotent: false },
    outcome: "unavailable, ran no",
    asked: ["far"],
  },
  {
    name: "runs locally if the caller cannot resend it",
    request: { idempotent: false, isCallerNamed: false },
    outcome: "200",
    asked: ["own"],
  },
  {
    name: "fails with deadlineExceeded after its deadline",
    request: { remainingMs: 0 },
    outcome: "deadlineExceeded, ran no",
    asked: [],
  },
  {
    name: "runs in the only data centre that is not evacuated",
    evacuated: ["own", "near"],
    outcome: "200",
    asked: ["far"],
  },
  {
    name: "goes to its home, which has its record, even if that is evacuated",
    request: { idempotent: false },
    evacuated: ["far"],
    outcome: "200",
    asked: ["far"],
  },
];

for (const { name, outcomes = {}, request, outcome, asked, ...rest } of CASES) {
  t.test(`a request ${name}`, async (t) => {
    const found = await runRequest(outcomes, request, rest.evacuated);
    t.equal(found.outcome, outcome);
    t.same(found.asked, asked);
    t.ok(found.sent <= 1);
  });
}

interface ExplainCase {
  name: string;
  reply: { outcome: string; refusal?: object } | FaultKind;
  evacuated?: string[];
  outcome: string;
  order: string[];
  isAsked: boolean;
  unknown: number;
}

const LOCAL_REFUSAL = { kind: "overloaded", message: "", ran: "no" };

const EXPLAIN_CASES: ExplainCase[] = [
  {
    name: "of a request that starts here",
    reply: { outcome: "starts" },
    outcome: "starts",
    order: ["own", "near", "far"],
    isAsked: true,
    unknown: 0,
  },
  {
    name: "of a refusal after which the next data centre is tried",
    reply: { outcome: "refused", refusal: LOCAL_REFUSAL },
    outcome: "elsewhere",
    order: ["own", "near", "far"],
    isAsked: true,
    unknown: 2,
  },
  {
    name: "of a refusal that is final",
    reply: {
      outcome: "refused",
      refusal: { ...LOCAL_REFUSAL, kind: "limitReached" },
    },
    outcome: "refused",
    order: ["own", "near", "far"],
    isAsked: true,
    unknown: 0,
  },
  {
    name: "without a leader",
    reply: "unavailable",
    outcome: "unknown",
    order: ["own", "near", "far"],
    isAsked: true,
    unknown: 3,
  },
  {
    name: "in an evacuated data centre",
    reply: { outcome: "starts" },
    evacuated: ["own"],
    outcome: "elsewhere",
    order: ["near", "far"],
    isAsked: false,
    unknown: 2,
  },
  {
    name: "with all data centres evacuated",
    reply: { outcome: "starts" },
    evacuated: ["own", "near", "far"],
    outcome: "refused",
    order: [],
    isAsked: false,
    unknown: 0,
  },
];

// Guards against an explanation that names another data centre than the request
// tries, states what was not asked for, or sends anything else than the question.
for (const { name, reply, evacuated = [], ...expected } of EXPLAIN_CASES) {
  t.test(`an explanation ${name}`, async (t) => {
    const calls: string[] = [];
    const routing = createRequestRouting(
      {
        dataCentre: "own",
        view: {
          getState: () => ({ evacuatedDataCentres: evacuated }),
        },
        calls: {
          call(method: string, _request: unknown, to: { dataCentre: string }) {
            calls.push(`${method} ${to.dataCentre}`);
            if (typeof reply === "string") {
              return Promise.reject(createFault(reply, "Cannot serve"));
            }
            const body = JSON.stringify({ ...reply, unknown: [] });
            return Promise.resolve({ body });
          },
        },
        listOthers: () => ["near", "far"],
      } as unknown as Parameters<typeof createRequestRouting>[0],
    );
    const found = await routing.explain(REQUEST);
    t.equal(found.outcome, expected.outcome);
    t.same(found.order, expected.order);
    t.equal(found.unknown.length, expected.unknown);
    t.same(calls, expected.isAsked ? ["explainSlot own"] : []);
  });
}
