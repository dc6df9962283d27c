// Builds the settings of every instance and the list of endpoints and workers
// of the example cells: `node examples/build.mjs`. The addresses are from the
// ranges that are reserved for documentation.

import { createHash } from "node:crypto";
import { writeFileSync } from "node:fs";

const EXAMPLE_TOKEN = "replace-this-token";

/** Instances of a data centre in its log group; a further one is an entry instance only. */
const GROUP_SCHEDULERS = 2;

// Two instances of each data centre are in its log group, the first with a disk,
// and a witness with a disk in another data centre is the third member. So a
// majority of each group is on disks, and a data centre that loses power whole
// comes back by itself. Three members without a disk would not.
const CELLS = [
  {
    folder: "consortium",
    weights: "share",
    dataCentres: [
      { name: "kochi", network: "192.0.2.1", instances: 3, racks: [6, 6] },
      { name: "alappuzha", network: "192.0.2.2", instances: 2, racks: [6] },
      { name: "kollam", network: "198.51.100.1", instances: 2, racks: [6] },
      { name: "trivandrum", network: "203.0.113.1", instances: 2, racks: [6] },
    ],
    voters: ["kochi-1", "kollam-1", "trivandrum-1"],
    witnesses: {
      "kochi-1": ["alappuzha"],
      "alappuzha-1": ["kochi"],
      "kollam-1": ["trivandrum"],
      "trivandrum-1": ["kollam"],
    },
    queues: ["orders", "prices", "stock"],
    worker: { cores: 16, memoryGb: 64, accelerators: 0 },
  },
  {
    folder: "retazos-andinos",
    weights: "waiting",
    dataCentres: [
      { name: "medellin", network: "192.0.2.1", instances: 3, racks: [8, 8] },
      { name: "itagui", network: "198.51.100.1", instances: 3, racks: [8] },
      { name: "rionegro", network: "203.0.113.1", instances: 3, racks: [6] },
    ],
    voters: ["medellin-1", "itagui-1", "rionegro-1"],
    witnesses: {
      "medellin-1": ["itagui"],
      "itagui-1": ["rionegro"],
      "rionegro-1": ["medellin"],
    },
    queues: ["plans", "lots", "quotes"],
    worker: { cores: 32, memoryGb: 128, accelerators: 0 },
  },
  {
    folder: "asociacion-cuenca",
    weights: "waiting",
    dataCentres: [
      { name: "cuenca", network: "192.0.2.1", instances: 4, racks: [8, 8] },
      { name: "gualaceo", network: "198.51.100.1", instances: 3, racks: [8] },
      { name: "azogues", network: "203.0.113.1", instances: 3, racks: [6] },
    ],
    voters: ["cuenca-1", "gualaceo-1", "azogues-1"],
    witnesses: {
      "cuenca-1": ["gualaceo"],
      "gualaceo-1": ["azogues"],
      "azogues-1": ["cuenca"],
    },
    queues: ["valuations", "reservations", "stock"],
    worker: { cores: 32, memoryGb: 64, accelerators: 0 },
  },
];

function listNumbers(count) {
  return Array.from({ length: count }, (_, index) => index + 1);
}

function listInstances({ dataCentres, voters, witnesses }) {
  return dataCentres.flatMap(({ name, network, instances }) =>
    listNumbers(instances).map((number) => {
      const instance = `${name}-${number}`;
      const host = `${network}${number}`;
      return {
        instance,
        dataCentre: name,
        http: { host, port: 8080 },
        rpc: { host, port: 9090 },
        scheduler: number <= GROUP_SCHEDULERS,
        voter: voters.includes(instance),
        witnessFor: witnesses[instance] ?? [],
      };
    })
  );
}

function buildSettings(cell, instances, own) {
  const { instance, dataCentre, http, rpc, scheduler, voter, witnessFor } = own;
  return {
    instance,
    dataCentre,
    roles: { scheduler, voter, witnessFor },
    listen: { http, rpc },
    ...(witnessFor.length > 0 ? { dataFolder: `data/${instance}` } : {}),
    operatorTokenHash: createHash("sha256").update(EXAMPLE_TOKEN).digest("hex"),
    scheduling: { weights: cell.weights },
    instances,
  };
}

// As many endpoints as workers in each data centre.
function buildFleet({ dataCentres, queues, worker }) {
  const workers = dataCentres.flatMap(({ name, racks }) =>
    racks.flatMap((size, index) =>
      listNumbers(size).map((number) => ({
        name: `${name}-worker-${index + 1}-${number}`,
        dataCentre: name,
        rack: `${name}-rack-${index + 1}`,
        ...worker,
      }))
    )
  );
  const endpoints = workers.map(({ name, dataCentre }) => ({
    name: name.replace("-worker-", "-endpoint-"),
    dataCentre,
    queues,
    slots: 8,
    connections: 60,
  }));
  return { endpoints, workers };
}

function writeJson(path, value) {
  const url = new URL(path, import.meta.url);
  writeFileSync(url, `${JSON.stringify(value, null, 2)}\n`);
}

for (const cell of CELLS) {
  const instances = listInstances(cell);
  for (const own of instances) {
    const path = `${cell.folder}/${own.instance}.json`;
    writeJson(path, buildSettings(cell, instances, own));
  }
  writeJson(`${cell.folder}/endpoints_and_workers.json`, buildFleet(cell));
}
