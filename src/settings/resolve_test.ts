import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import t from "tap";
import { isFault } from "../common/mod.ts";
import {
  checkSettings,
  isOperatorInterfaceOpen,
  loadSettings,
  resolveSettings,
} from "./resolve.ts";
import type { SettingFault } from "./resolve.ts";
import { DEFAULT_SETTINGS } from "./settings.ts";

const HASH = "0123456789abcdef".repeat(4);

interface SettingsInput {
  // deno-lint-ignore no-explicit-any
  [name: string]: any;
}

function createEntry(instance: string, dataCentre: string, hostEnd: number) {
  const host = `192.0.2.${hostEnd}`;
  return {
    instance,
    dataCentre,
    http: { host, port: 8080 },
    rpc: { host, port: 9090 },
    scheduler: true,
    voter: false,
    witnessFor: [] as string[],
  };
}

/** Two data centres: "a" with three scheduler instances, "b" with two and a witness in "a". */
function createInput(): SettingsInput {
  const instances = [
    { ...createEntry("a1", "a", 1), voter: true, witnessFor: ["b"] },
    createEntry("a2", "a", 2),
    createEntry("a3", "a", 3),
    createEntry("b1", "b", 4),
    createEntry("b2", "b", 5),
  ];
  return {
    instance: "a1",
    dataCentre: "a",
    roles: { scheduler: true, voter: true, witnessFor: ["b"] },
    listen: {
      http: { host: "192.0.2.1", port: 8080 },
      rpc: { host: "192.0.2.1", port: 9090 },
    },
    dataFolder: "state",
    instances,
    operatorTokenHash: HASH,
  };
}

function createLoopbackInput(): SettingsInput {
  const http = { host: "127.0.0.1", port: 8080 };
  const rpc = { host: "127.0.0.1", port: 9090 };
  const entry = { instance: "a1", dataCentre: "a", http, rpc, voter: true };
  return {
    instance: "a1",
    dataCentre: "a",
    roles: { voter: true },
    listen: { http, rpc },
    dataFolder: "state",
    instances: [entry],
  };
}

const { roles: _roles, ...DEFAULT_SETTINGS_WITHOUT_ROLES } = DEFAULT_SETTINGS;

// Guards against a default that is not applied, and a derived value that exceeds the connection budget.
t.test("defaults are filled in", (t) => {
  const settings = resolveSettings(createInput());
  t.match(settings, DEFAULT_SETTINGS_WITHOUT_ROLES);
  t.strictSame(settings.advertise, settings.listen);
  t.equal(settings.requests.connectionsPerEndpoint, 12);
  t.notOk(isOperatorInterfaceOpen(settings));
  const alone = resolveSettings(createLoopbackInput());
  t.equal(alone.requests.connectionsPerEndpoint, 60);
  t.equal(alone.roles.scheduler, true);
  t.ok(isOperatorInterfaceOpen(alone));
  t.end();
});

// Guards against a module that changes a setting after another has read it.
t.test("settings and defaults are deeply frozen", (t) => {
  const isFrozen = (value: unknown): boolean =>
    typeof value !== "object" || value === null ||
    (Object.isFrozen(value) && Object.values(value).every(isFrozen));
  const input = createInput();
  t.ok(isFrozen(resolveSettings(input)));
  t.ok(isFrozen(DEFAULT_SETTINGS));
  t.notOk(Object.isFrozen(input.instances), "the input is left as it was");
  t.end();
});

interface FaultCase {
  name: string;
  edit: (input: SettingsInput) => void;
  path: string;
  value?: unknown;
  allowed: RegExp;
  suggestion?: string;
}

const FAULT_CASES: FaultCase[] = [
  {
    name: "missing instance",
    edit: (d) => delete d.instance,
    path: "instance",
    allowed: /^1 to 63 lower-case letters/,
  },
  {
    name: "name with the incarnation separator",
    edit: (d) => d.instances[1].instance = "a2#7",
    path: "instances[1].instance",
    value: "a2#7",
    allowed: /^1 to 63 lower-case letters/,
  },
  {
    name: "incarnation is not a setting",
    edit: (d) => d.incarnation = 3,
    path: "incarnation",
    value: 3,
    allowed: /^one of the names instance, /,
    suggestion: "instance",
  },
  {
    name: "misspelt section",
    edit: (d) => d.request = {},
    path: "request",
    value: {},
    allowed: /^one of the names/,
    suggestion: "requests",
  },
  {
    name: "misspelt setting in a section",
    edit: (d) => d.log = { hartbeatMs: 50 },
    path: "log.hartbeatMs",
    value: 50,
    allowed: /heartbeatMs, electionTimeoutMinMs/,
    suggestion: "heartbeatMs",
  },
  {
    name: "misspelt setting in a list",
    edit: (d) => d.instances[2].http.prt = 1,
    path: "instances[2].http.prt",
    value: 1,
    allowed: /^one of the names host, port$/,
    suggestion: "port",
  },
  {
    name: "host name in place of an address",
    edit: (d) => d.listen.http.host = "localhost",
    path: "listen.http.host",
    value: "localhost",
    allowed: /^an IPv4 or IPv6 address$/,
  },
  {
    name: "port 0, which is unknown to peers",
    edit: (d) => d.instances[0].rpc.port = 0,
    path: "instances[0].rpc.port",
    value: 0,
    allowed: /^an integer from 1 to 65535$/,
  },
  {
    name: "fraction in place of an integer",
    edit: (d) => d.requests = { queueLength: 1.5 },
    path: "requests.queueLength",
    value: 1.5,
    allowed: /^an integer from 1 to 1000000$/,
  },
  {
    name: "number as text",
    edit: (d) => d.stop = { graceMs: "10" },
    path: "stop.graceMs",
    value: "10",
    allowed: /^an integer from 0 to 3600000$/,
  },
  {
    name: "ratio above 1",
    edit: (d) => d.requests = { retryBudgetRatio: 1.5 },
    path: "requests.retryBudgetRatio",
    value: 1.5,
    allowed: /^a number from 0 to 1$/,
  },
  {
    name: "negative staleness limit",
    edit: (d) => d.keyStalenessLimitMs = -1,
    path: "keyStalenessLimitMs",
    value: -1,
    allowed: /^an integer from 0 to 604800000$/,
  },
  {
    name: "unknown weights",
    edit: (d) => d.scheduling = { weights: "fair" },
    path: "scheduling.weights",
    value: "fair",
    allowed: /^one of "share", "waiting"$/,
  },
  {
    name: "null section",
    edit: (d) => d.tasks = null,
    path: "tasks",
    value: null,
    allowed: /^an object$/,
  },
  {
    name: "token in place of its hash",
    edit: (d) => d.operatorTokenHash = "open sesame",
    path: "operatorTokenHash",
    value: "(hidden)",
    allowed: /^64 lower-case hexadecimal digits/,
  },
  {
    name: "no operators' token on a non-loopback address",
    edit: (d) => delete d.operatorTokenHash,
    path: "operatorTokenHash",
    allowed: /not on loopback$/,
  },
  {
    name: "no data folder on a voter",
    edit: (d) => delete d.dataFolder,
    path: "dataFolder",
    allowed: /a voter or witness has a disk$/,
  },
  {
    name: "instance that is not listed",
    edit: (d) => d.instance = "a9",
    path: "instance",
    value: "a9",
    allowed: /^the name of a listed instance$/,
  },
  {
    name: "data centre that differs from the list",
    edit: (d) => d.dataCentre = "b",
    path: "dataCentre",
    value: "b",
    allowed: /^"a", the data centre of "a1" in instances$/,
  },
  {
    name: "role that differs from the list",
    edit: (d) => d.roles.voter = false,
    path: "roles.voter",
    value: false,
    allowed: /^true, as listed for "a1"/,
  },
  {
    name: "listed address that differs",
    edit: (d) => d.listen.http.port = 8081,
    path: "listen.http",
    value: { host: "192.0.2.1", port: 8081 },
    allowed: /^192\.0\.2\.1:8080, as listed/,
  },
  {
    name: "wildcard address that is advertised",
    edit: (d) => d.listen.rpc.host = "::",
    path: "listen.rpc",
    value: { host: "::", port: 9090 },
    allowed: /^an address that others can reach/,
  },
  {
    name: "one address for both listeners",
    edit: (d) => {
      d.advertise = d.listen;
      d.listen = { http: d.listen.http, rpc: d.listen.http };
    },
    path: "listen.rpc",
    value: { host: "192.0.2.1", port: 8080 },
    allowed: /^another address than http$/,
  },
  {
    name: "instance name used twice",
    edit: (d) => d.instances[4].instance = "b1",
    path: "instances[4].instance",
    value: "b1",
    allowed: /^a name that no other instance has$/,
  },
  {
    name: "address used twice",
    edit: (d) => d.instances[4].rpc = d.instances[3].http,
    path: "instances[4].rpc",
    value: { host: "192.0.2.4", port: 8080 },
    allowed: /^an address that is listed once$/,
  },
  {
    name: "two voters",
    edit: (d) => d.instances[3].voter = true,
    path: "instances",
    allowed: /^a list with 1, 3 or 5 voters, not 2$/,
  },
  {
    name: "two scheduler instances without a witness",
    edit: (d) => {
      d.instances[0].witnessFor = [];
      d.roles.witnessFor = [];
    },
    path: "instances",
    allowed: /^a list with 1 witnesses for data centre "b", which has 2/,
  },
  {
    name: "witness in its own data centre",
    edit: (d) => {
      d.instances[0].witnessFor = [];
      d.roles.witnessFor = [];
      d.instances[3].witnessFor = ["b"];
    },
    path: "instances[3].witnessFor[0]",
    value: "b",
    allowed: /^another data centre of the list, named once$/,
  },
  {
    name: "witness for an unknown data centre",
    edit: (d) => d.instances[1].witnessFor = ["c"],
    path: "instances[1].witnessFor[0]",
    value: "c",
    allowed: /^another data centre of the list, named once$/,
  },
  {
    name: "two witnesses, which make an even number of members",
    edit: (d) => d.instances[1].witnessFor = ["b"],
    path: "instances",
    allowed: /^a list with 1 witnesses .* not 2$/,
  },
  {
    name: "data centre without a scheduler instance",
    edit: (d) => {
      d.instances[3].scheduler = false;
      d.instances[4].scheduler = false;
    },
    path: "instances",
    allowed: /^a list with a scheduler instance in data centre "b"/,
  },
  {
    name: "connections over the budget of an endpoint",
    edit: (d) => d.requests = { connectionsPerEndpoint: 13 },
    path: "requests.connectionsPerEndpoint",
    value: 13,
    allowed: /^no more than 12, because 5 instances share/,
  },
  {
    name: "default deadline over the longest",
    edit: (d) => d.requests = { maxDeadlineMs: 5_000 },
    path: "requests.defaultDeadlineMs",
    value: 10_000,
    allowed: /^no more than maxDeadlineMs \(5000\)$/,
  },
  {
    name: "recorded answer over the largest answer",
    edit: (d) => d.requests = { maxAnswerBytes: 1_000 },
    path: "requests.recordedAnswerMaxBytes",
    value: 16_384,
    allowed: /^no more than maxAnswerBytes \(1000\)$/,
  },
  {
    name: "lease not longer than the announcement period",
    edit: (d) => d.tasks = { leaseMs: 1_000 },
    path: "tasks.leaseMs",
    value: 1_000,
    allowed: /^more than announcePeriodMs \(1000\)$/,
  },
  {
    name: "election timeout within a heartbeat",
    edit: (d) => d.log = { heartbeatMs: 500 },
    path: "log.electionTimeoutMinMs",
    value: 500,
    allowed: /^more than heartbeatMs \(500\)$/,
  },
  {
    name: "election timeouts without a spread",
    edit: (d) => d.log = { electionTimeoutMaxMs: 500 },
    path: "log.electionTimeoutMaxMs",
    value: 500,
    allowed: /^more than electionTimeoutMinMs \(500\)$/,
  },
];

// Guards against an invalid setting that is accepted, or reported without path, value or range.
t.test("each fault is listed with its path, value and range", (t) => {
  t.strictSame(checkSettings(createInput()), []);
  for (const { name, edit, path, value, allowed, suggestion } of FAULT_CASES) {
    const input = createInput();
    edit(input);
    const found = checkSettings(input).find((fault) =>
      fault.path === path && allowed.test(fault.allowed)
    );
    t.ok(found, `${name}: listed`);
    t.equal(found?.suggestion, suggestion, `${name}: suggestion`);
    if (value !== undefined) {
      t.strictSame(found?.value, value, `${name}: value`);
    }
  }
  t.end();
});

// Guards against reporting only the first fault, and against a misspelt name that disables other rules.
t.test("all faults are listed at once", (t) => {
  const input = createInput();
  input.instance = "a9";
  input.logLevl = "debug";
  input.requests = { queueLength: 0 };
  input.tasks = { leaseMs: 500 };
  try {
    resolveSettings(input);
    t.fail("invalid settings were accepted");
  } catch (error) {
    if (!isFault(error, "badRequest")) throw error;
    const faults = error.details.faults as SettingFault[];
    t.strictSame(faults.map((fault) => fault.path).sort(), [
      "instance",
      "logLevl",
      "requests.queueLength",
      "tasks.leaseMs",
    ]);
    t.match(error.message, 'logLevl: unknown name, did you mean "logLevel"?');
    t.match(error.message, "queueLength: 0; allowed: an integer from 1 to");
    t.equal(error.message.split("\n").length, 5);
  }
  t.end();
});

async function getFaultText(run: () => unknown): Promise<string> {
  try {
    await run();
  } catch (error) {
    if (isFault(error)) return `${error.kind}: ${error.message}`;
    throw error;
  }
  return "none";
}

// Guards against an error other than a fault on input that is not an object.
t.test("input that is not an object is rejected", async (t) => {
  for (const input of [undefined, null, 3, "x", [], [createInput()]]) {
    const fault = await getFaultText(() => resolveSettings(input));
    t.match(fault, /^badRequest: Cannot accept settings/);
  }
});

// Guards against a data folder that depends on the working directory.
t.test("a settings file is loaded", async (t) => {
  const folder = await mkdtemp(join(tmpdir(), "goldcrestlug-settings-"));
  t.teardown(() => rm(folder, { recursive: true }));
  const path = join(folder, "a1.json");
  await writeFile(path, JSON.stringify(createInput()));
  const settings = await loadSettings(path);
  t.equal(settings.dataFolder, join(folder, "state"));
  await writeFile(path, "{ instance: a1 }");
  const malformed = await getFaultText(() => loadSettings(path));
  t.match(malformed, /^badRequest: Cannot parse settings file .* as JSON: /);
  const absent = await getFaultText(() => loadSettings(join(folder, "absent")));
  t.match(absent, /^badRequest: Cannot read settings file .* ENOENT/);
});
