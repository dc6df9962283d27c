/**
 * Validation rules that span several settings. A rule runs when all settings
 * that it reads match the schema, so one run reports as many faults as
 * possible.
 */

import { BlockList } from "node:net";
import { ENDPOINT_CONNECTION_BUDGET } from "./settings.ts";
import type { Address, InstanceEntry } from "./settings.ts";
import type { ParsedSettings, SettingName } from "./schema.ts";

/** A violation of a rule. */
export interface CheckFault {
  /** Path of the invalid setting. */
  readonly path: readonly (string | number)[];
  /** Description of the allowed values. */
  readonly allowed: string;
}

interface CrossCheck {
  readonly reads: readonly SettingName[];
  check(settings: ParsedSettings): CheckFault[];
}

const LOOPBACK = new BlockList();
LOOPBACK.addSubnet("127.0.0.0", 8, "ipv4");
LOOPBACK.addAddress("::1", "ipv6");

/** Tells whether an IP address is a loopback address, reachable from its own host only. */
export function isLoopback(host: string): boolean {
  return LOOPBACK.check(host, host.includes(":") ? "ipv6" : "ipv4");
}

function isUnspecified(host: string): boolean {
  return host === "0.0.0.0" || /^[0:]+$/.test(host);
}

function formatAddress(address: Address): string {
  const { host, port } = address;
  return host.includes(":") ? `[${host}]:${port}` : `${host}:${port}`;
}

function checkUnique(
  keys: readonly { key: string; path: (string | number)[] }[],
  allowedText: string,
): CheckFault[] {
  const faults: CheckFault[] = [];
  const seen = new Set<string>();
  for (const { key, path } of keys) {
    if (seen.has(key)) faults.push({ path, allowed: allowedText });
    seen.add(key);
  }
  return faults;
}

function checkInstancesUnique({ instances }: ParsedSettings): CheckFault[] {
  const names = instances.map((entry, index) => ({
    key: entry.instance,
    path: ["instances", index, "instance"],
  }));
  const addresses = instances.flatMap((entry, index) => [
    { key: formatAddress(entry.http), path: ["instances", index, "http"] },
    { key: formatAddress(entry.rpc), path: ["instances", index, "rpc"] },
  ]);
  return [
    ...checkUnique(names, "a name that no other instance has"),
    ...checkUnique(addresses, "an address that is listed once"),
  ];
}

function checkVoterCount({ instances }: ParsedSettings): CheckFault[] {
  const count = instances.filter((entry) => entry.voter).length;
  if ([1, 3, 5].includes(count)) return [];
  return [{
    path: ["instances"],
    allowed: `a list with 1, 3 or 5 voters, not ${count}`,
  }];
}

function listWitnesses(instances: readonly InstanceEntry[], name: string) {
  return instances.filter((entry) => entry.witnessFor.includes(name));
}

function checkDataCentre(
  instances: readonly InstanceEntry[],
  name: string,
): CheckFault[] {
  const path = ["instances"];
  const schedulers =
    instances.filter((entry) => entry.scheduler && entry.dataCentre === name)
      .length;
  const witnesses = listWitnesses(instances, name).length;
  if (schedulers === 0) {
    const allowed =
      `a list with a scheduler instance in data centre "${name}", because every data centre needs one to make decisions`;
    return [{ path, allowed }];
  }
  // With two members, the loss of either one loses the quorum. With any other
  // number of schedulers, a witness adds a vote but tolerates no further loss.
  const expected = schedulers === 2 ? 1 : 0;
  if (witnesses === expected) return [];
  const allowed =
    `a list with ${expected} witnesses for data centre "${name}", which has ${schedulers} scheduler instances, not ${witnesses}`;
  return [{ path, allowed }];
}

function checkWitnesses({ instances }: ParsedSettings): CheckFault[] {
  const dataCentres = new Set(instances.map((entry) => entry.dataCentre));
  const faults: CheckFault[] = [];
  for (const [index, entry] of instances.entries()) {
    for (const [position, name] of entry.witnessFor.entries()) {
      const isElsewhere = dataCentres.has(name) && name !== entry.dataCentre;
      const isRepeated = entry.witnessFor.indexOf(name) < position;
      if (isElsewhere && !isRepeated) continue;
      faults.push({
        path: ["instances", index, "witnessFor", position],
        allowed: "another data centre of the list, named once",
      });
    }
  }
  for (const name of dataCentres) {
    faults.push(...checkDataCentre(instances, name));
  }
  return faults;
}

function checkOwnEntry(settings: ParsedSettings): CheckFault[] {
  const own = settings.instances.find((entry) =>
    entry.instance === settings.instance
  );
  if (own === undefined) {
    return [{ path: ["instance"], allowed: "the name of a listed instance" }];
  }
  const faults: CheckFault[] = [];
  if (own.dataCentre !== settings.dataCentre) {
    const allowed =
      `"${own.dataCentre}", the data centre of "${own.instance}" in instances`;
    faults.push({ path: ["dataCentre"], allowed });
  }
  for (const role of ["scheduler", "voter", "witnessFor"] as const) {
    const listed = JSON.stringify(own[role]);
    if (JSON.stringify(settings.roles[role]) === listed) continue;
    const allowed = `${listed}, as listed for "${own.instance}" in instances`;
    faults.push({ path: ["roles", role], allowed });
  }
  return faults;
}

function checkAdvertised(settings: ParsedSettings): CheckFault[] {
  const name = settings.advertise === undefined ? "listen" : "advertise";
  const advertised = settings.advertise ?? settings.listen;
  const own = settings.instances.find((entry) =>
    entry.instance === settings.instance
  );
  const faults: CheckFault[] = [];
  for (const kind of ["http", "rpc"] as const) {
    const path = [name, kind];
    if (isUnspecified(advertised[kind].host)) {
      const allowed = "an address that others can reach, or one in advertise";
      faults.push({ path, allowed });
      continue;
    }
    if (own === undefined) continue;
    const listed = formatAddress(own[kind]);
    if (formatAddress(advertised[kind]) === listed) continue;
    const allowed = `${listed}, as listed for "${own.instance}" in instances`;
    faults.push({ path, allowed });
  }
  return faults;
}

function checkListen({ listen }: ParsedSettings): CheckFault[] {
  if (formatAddress(listen.http) !== formatAddress(listen.rpc)) return [];
  return [{ path: ["listen", "rpc"], allowed: "another address than http" }];
}

function checkDataFolder(settings: ParsedSettings): CheckFault[] {
  const { voter, witnessFor } = settings.roles;
  const needsDisk = voter || witnessFor.length > 0;
  if (!needsDisk || settings.dataFolder !== undefined) return [];
  const allowed = "the path of a folder, because a voter or witness has a disk";
  return [{ path: ["dataFolder"], allowed }];
}

function checkOperatorToken(settings: ParsedSettings): CheckFault[] {
  const isTokenMissing = settings.operatorTokenHash === undefined;
  if (!isTokenMissing || isLoopback(settings.listen.http.host)) return [];
  const allowed =
    "64 lower-case hexadecimal digits (a SHA-256), because listen.http is not on loopback";
  return [{ path: ["operatorTokenHash"], allowed }];
}

function checkRequests({ requests }: ParsedSettings): CheckFault[] {
  const faults: CheckFault[] = [];
  if (requests.defaultDeadlineMs > requests.maxDeadlineMs) {
    const allowed = `no more than maxDeadlineMs (${requests.maxDeadlineMs})`;
    faults.push({ path: ["requests", "defaultDeadlineMs"], allowed });
  }
  if (requests.recordedAnswerMaxBytes > requests.maxAnswerBytes) {
    const allowed = `no more than maxAnswerBytes (${requests.maxAnswerBytes})`;
    faults.push({ path: ["requests", "recordedAnswerMaxBytes"], allowed });
  }
  return faults;
}

function checkConnections(settings: ParsedSettings): CheckFault[] {
  const path = ["requests", "connectionsPerEndpoint"];
  const count = settings.instances.length;
  const max = Math.floor(ENDPOINT_CONNECTION_BUDGET / count);
  const asked = settings.requests.connectionsPerEndpoint ?? 1;
  if (asked <= max) return [];
  const allowed =
    `no more than ${max}, because ${count} instances share the ${ENDPOINT_CONNECTION_BUDGET} connections of an endpoint`;
  return [{ path, allowed }];
}

function checkTasks({ tasks }: ParsedSettings): CheckFault[] {
  if (tasks.leaseMs > tasks.announcePeriodMs) return [];
  const allowed = `more than announcePeriodMs (${tasks.announcePeriodMs})`;
  return [{ path: ["tasks", "leaseMs"], allowed }];
}

function checkLog({ log }: ParsedSettings): CheckFault[] {
  const faults: CheckFault[] = [];
  if (log.electionTimeoutMinMs <= log.heartbeatMs) {
    const allowed = `more than heartbeatMs (${log.heartbeatMs})`;
    faults.push({ path: ["log", "electionTimeoutMinMs"], allowed });
  }
  // Equal timeouts would cause split votes: members would become candidates at
  // the same time.
  if (log.electionTimeoutMaxMs <= log.electionTimeoutMinMs) {
    const allowed =
      `more than electionTimeoutMinMs (${log.electionTimeoutMinMs})`;
    faults.push({ path: ["log", "electionTimeoutMaxMs"], allowed });
  }
  return faults;
}

const CROSS_CHECKS: readonly CrossCheck[] = [
  { reads: ["instances"], check: checkInstancesUnique },
  { reads: ["instances"], check: checkVoterCount },
  { reads: ["instances"], check: checkWitnesses },
  {
    reads: ["instance", "dataCentre", "roles", "instances"],
    check: checkOwnEntry,
  },
  {
    reads: ["instance", "listen", "advertise", "instances"],
    check: checkAdvertised,
  },
  { reads: ["listen"], check: checkListen },
  { reads: ["roles", "dataFolder"], check: checkDataFolder },
  { reads: ["listen", "operatorTokenHash"], check: checkOperatorToken },
  { reads: ["requests"], check: checkRequests },
  { reads: ["requests", "instances"], check: checkConnections },
  { reads: ["tasks"], check: checkTasks },
  { reads: ["log"], check: checkLog },
];

/** Runs each rule whose settings are all in `validNames` and lists the violations. */
export function checkSettingCombinations(
  settings: Partial<ParsedSettings>,
  validNames: ReadonlySet<SettingName>,
): CheckFault[] {
  return CROSS_CHECKS
    .filter(({ reads }) => reads.every((name) => validNames.has(name)))
    .flatMap(({ check }) => check(settings as ParsedSettings));
}
