import { readdir, readFile } from "node:fs/promises";
import { fileURLToPath } from "node:url";
import t from "tap";
import { parseSheet } from "../src/fleet/mod.ts";
import { loadSettings } from "../src/settings/mod.ts";

const EXAMPLES = fileURLToPath(new URL("../../examples/", import.meta.url));
const LIST_NAME = "endpoints_and_workers.json";

interface Worker {
  readonly dataCentre: string;
  readonly rack: string;
  readonly cores: number;
  readonly memoryGb: number;
}

interface Endpoint {
  readonly dataCentre: string;
  readonly queues: readonly string[];
  readonly slots: number;
  readonly connections: number;
}

interface ExampleCase {
  readonly folder: string;
  /** Instances of each data centre. */
  readonly instances: readonly number[];
  readonly weights: string;
  readonly cores: number;
  readonly memoryGb: number;
  readonly workersPerRack: number;
}

const CASES: ExampleCase[] = [
  {
    folder: "consortium",
    instances: [3, 2, 2, 2],
    weights: "share",
    cores: 16,
    memoryGb: 64,
    workersPerRack: 6,
  },
  {
    folder: "retazos-andinos",
    instances: [3, 3, 3],
    weights: "waiting",
    cores: 32,
    memoryGb: 128,
    workersPerRack: 8,
  },
  {
    folder: "asociacion-cuenca",
    instances: [4, 3, 3],
    weights: "waiting",
    cores: 32,
    memoryGb: 64,
    workersPerRack: 8,
  },
];

function countBy<T>(items: readonly T[], getKey: (item: T) => string) {
  const counts = new Map<string, number>();
  for (const item of items) {
    counts.set(getKey(item), (counts.get(getKey(item)) ?? 0) + 1);
  }
  return [...counts.values()];
}

async function loadCell(folder: string) {
  const names = (await readdir(EXAMPLES + folder))
    .filter((name) => name.endsWith(".json") && name !== LIST_NAME);
  const paths = names.map((name) => `${EXAMPLES}${folder}/${name}`);
  return Promise.all(paths.map(loadSettings));
}

// Guards against example settings that the program rejects, or that describe the cell differently for each instance.
t.test("the example settings resolve", async (t) => {
  for (const { folder, instances, weights } of CASES) {
    const cell = await loadCell(folder);
    const [first] = cell;
    if (first === undefined) {
      throw new Error(`Cannot find settings in "${folder}"`);
    }
    const names = cell.map(({ instance }) => instance).sort();
    const listed = first.instances.map(({ instance }) => instance).sort();
    t.strictSame(names, listed, `${folder}: one file for each instance`);
    for (const settings of cell) {
      t.strictSame(settings.instances, first.instances);
      t.equal(settings.scheduling.weights, weights);
      t.equal(settings.requests.connectionsPerEndpoint, 6);
      t.notOk(settings.instances.some(({ http }) => http.host === "127.0.0.1"));
    }
    t.strictSame(
      countBy(first.instances, ({ dataCentre }) => dataCentre),
      instances,
    );
    const voters = first.instances.filter(({ voter }) => voter);
    t.equal(voters.length, 3);
    t.strictSame(
      countBy(voters, ({ dataCentre }) => dataCentre),
      [1, 1, 1],
      `${folder}: the loss of one data centre leaves two voters`,
    );
  }
});

// Guards against example sizes that differ from the design page.
t.test("the example endpoints and workers have the stated sizes", async (t) => {
  for (const example of CASES) {
    const path = `${EXAMPLES}${example.folder}/${LIST_NAME}`;
    const list = JSON.parse(await readFile(path, "utf8"));
    const workers: Worker[] = list.workers;
    const endpoints: Endpoint[] = list.endpoints;
    t.equal(workers.length, 30);
    t.equal(endpoints.length, 30);
    const { cores, memoryGb } = example;
    t.ok(workers.every((worker) => worker.cores === cores));
    t.ok(workers.every((worker) => worker.memoryGb === memoryGb));
    const racks = countBy(workers, ({ rack }) => rack);
    t.ok(racks.every((size) => size <= example.workersPerRack));
    t.equal(racks.length, Math.ceil(30 / example.workersPerRack));
    t.ok(
      endpoints.every(({ slots, connections }) =>
        slots === 8 && connections === 60
      ),
    );
    const [settings] = await loadCell(example.folder);
    const known = new Set(settings?.instances.map((entry) => entry.dataCentre));
    const used = new Set(
      [...workers, ...endpoints].map(({ dataCentre }) => dataCentre),
    );
    t.strictSame([...used].sort(), [...known].sort());
  }
});

// Guards against a sheet that the program rejects, that lacks the six queues, or whose limits exceed the fleet.
t.test("the example sheets are accepted", async (t) => {
  for (const { folder, cores, memoryGb } of CASES) {
    const text = await readFile(`${EXAMPLES}${folder}/sheet.csv`, "utf8");
    const rows = parseSheet(text);
    const queues = rows.filter((row) => row.kind === "queue");
    t.equal(queues.length, 6);
    const workspaces = rows.filter((row) => row.kind === "workspace");
    t.ok(workspaces.length >= 6);
    t.ok(workspaces.every(({ share = 0 }) => share > 0));
    for (
      const { name, slots = 0, processors = 0, memoryMb = 0 } of workspaces
    ) {
      t.ok(slots > 0 && slots <= 30 * 8, `${name}: slots`);
      t.ok(
        processors > 0 && processors <= 30 * cores * 1_000,
        `${name}: cores`,
      );
      t.ok(
        memoryMb > 0 && memoryMb <= 30 * memoryGb * 1_024,
        `${name}: memory`,
      );
    }
    const path = `${EXAMPLES}${folder}/${LIST_NAME}`;
    const list = JSON.parse(await readFile(path, "utf8"));
    const served = new Set(
      (list.endpoints as Endpoint[]).flatMap((endpoint) => endpoint.queues),
    );
    const requestQueues = queues
      .filter(({ policy }) => policy === "requests")
      .map(({ name }) => name);
    t.strictSame([...served].sort(), requestQueues.sort());
  }
});
