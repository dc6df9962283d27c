/** Status of an instance for operators, and the gauges of its metrics. */

import type { Clock, Timer } from "../common/mod.ts";
import type { InstanceState, Membership } from "../membership/mod.ts";
import type { FleetService } from "./fleet_service.ts";
import type { LogMemberHandle } from "./log_member.ts";
import type { Observer } from "./observer.ts";
import type { WorkService } from "./work_service.ts";

/** Interval between samples of the workspaces' distance from their share, in milliseconds. */
const SHARE_SAMPLE_MS = 10_000;

/** Options of the status. */
export interface InstanceStatusOptions {
  fleet: FleetService;
  /** Members of the data centre logs, by group. */
  members: ReadonlyMap<string, LogMemberHandle>;
  membership: Membership;
  work: WorkService | undefined;
  observer: Observer;
  clock: Clock;
  getOwnState: () => InstanceState;
  getDataCentreStatus: (dataCentre: string) => Promise<unknown>;
  countOpenRequests: () => number;
}

/** Reports the status and metrics of an instance. */
export interface InstanceStatus {
  getStatus(): Promise<unknown>;
  /** Renders the text page of the metrics. */
  renderMetrics(): Promise<string>;
  stop(): void;
}

/** Creates the status and starts to sample the workspaces' distance from their share. */
export function createInstanceStatus(
  options: InstanceStatusOptions,
): InstanceStatus {
  const { fleet, members, observer, work } = options;
  const { metrics } = observer;
  let timer: Timer;

  function setLogGauges(): void {
    for (const [group, member] of members) {
      const log = member.getLog();
      if (log === undefined) continue;
      const isLeading = log.getLease() !== undefined;
      metrics.setGauge("log_is_leader", isLeading ? 1 : 0, { group });
      metrics.setGauge("log_commit_index", log.getStatus().commitIndex, {
        group,
      });
    }
  }

  function setLeaderGauges(): void {
    const leadership = work?.getLeadership();
    if (leadership === undefined) return;
    const { queued, endpoints } = leadership.slots.controller.getStatus();
    const { workers, workersOutOfService } = leadership.scheduler.getStatus();
    metrics.setGauge("requests_waiting", queued);
    metrics.setGauge("endpoints", endpoints.length, { state: "known" });
    metrics.setGauge("workers", workers, { state: "known" });
    metrics.setGauge("workers", workersOutOfService.length, {
      state: "outOfService",
    });
  }

  function recordShares(): void {
    const leadership = work?.getLeadership();
    if (leadership !== undefined) {
      observer.recordShares(leadership.scheduler.getStatus());
    }
    timer = options.clock.setTimer(SHARE_SAMPLE_MS, recordShares);
  }

  recordShares();

  return {
    async getStatus() {
      const names = fleet.view.getState().dataCentres;
      const logs = [...members].map(([group, member]) => ({
        group,
        ...member.getLog()?.getStatus(),
      }));
      return {
        self: options.getOwnState(),
        fleet: fleet.getStatus(),
        logs,
        peers: options.membership.list(),
        dataCentres: await Promise.all(names.map(options.getDataCentreStatus)),
      };
    },
    renderMetrics() {
      metrics.setGauge("config_version", fleet.view.getVersion());
      metrics.setGauge("requests_open", options.countOpenRequests());
      setLogGauges();
      setLeaderGauges();
      return metrics.render();
    },
    stop: () => timer.cancel(),
  };
}
