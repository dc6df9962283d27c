/**
 * Decides whether an instance is ready to serve. After a start it waits until
 * its configuration is confirmed, so that it does not serve an outdated one.
 */

import type { Clock } from "../common/mod.ts";
import type { Readiness } from "../http/mod.ts";
import type { FleetService } from "./fleet_service.ts";

/**
 * Time for which a starting instance waits for a confirmed configuration, in
 * milliseconds. A partitioned data centre cannot get a confirmation, so after
 * this time it serves with the configuration it has. The limit on the age of
 * keys still applies.
 */
const CONFIRM_WAIT_MS = 10_000;

/** Options of the readiness of an instance. */
export interface InstanceReadinessOptions {
  dataCentre: string;
  clock: Clock;
  fleet: FleetService;
  hasLeader: () => boolean;
}

/** The readiness of an instance. */
export interface InstanceReadiness {
  get(): Readiness;
  /** Returns the reason for refusing new work; undefined when work is accepted. */
  getRefusal(): string | undefined;
  isStopping(): boolean;
  /** Marks the instance as not ready; it still accepts work. */
  setStopping(): void;
  /** Refuses new work from now on. */
  setRefusing(): void;
}

/** Creates the readiness of a starting instance. */
export function createReadiness(
  options: InstanceReadinessOptions,
): InstanceReadiness {
  const { clock, fleet } = options;
  const startedAtMs = clock.now();
  let hasBeenReady = false;
  let isStopping = false;
  let isRefusing = false;

  function hasConfiguration(): boolean {
    if (hasBeenReady || fleet.hasBeenConfirmed()) return true;
    const waitedMs = clock.now() - startedAtMs;
    return waitedMs > CONFIRM_WAIT_MS && fleet.view.getVersion() > 0;
  }

  function get(): Readiness {
    const reasons: string[] = [];
    if (isStopping) reasons.push("the instance is stopping");
    if (!hasConfiguration()) {
      reasons.push("the configuration has not been confirmed");
    }
    if (!options.hasLeader()) {
      reasons.push(`data centre "${options.dataCentre}" has no known leader`);
    }
    const ready = reasons.length === 0;
    hasBeenReady ||= ready;
    return { ready, reasons };
  }

  return {
    get,
    getRefusal() {
      if (isRefusing) return "the instance is stopping";
      if (!hasBeenReady && !get().ready) return "the instance is starting";
      return undefined;
    },
    isStopping: () => isStopping,
    setStopping: () => isStopping = true,
    setRefusing: () => isRefusing = true,
  };
}
