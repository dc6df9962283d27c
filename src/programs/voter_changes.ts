/**
 * Changes the voters of the work log on its leader, one step at a time: replaces
 * lost and stopping voters by standbys, and tells stopping instances when they
 * may exit. The state lives in the log and in the gateway streams, so the next
 * leader goes on where this one ended.
 */

import type { Clock, Logger, Timer } from "../common/mod.ts";
import type { GatewayServer } from "../gateway/mod.ts";
import {
  type LogStatus,
  parseMemberId,
  type ReplicatedLog,
} from "../replicated_log/mod.ts";
import {
  isReleasable,
  type LearnerView,
  planVoters,
  type VotersDecision,
  type VotersInput,
} from "./voters.ts";

/** Interval of the checks, in milliseconds. */
const CHECK_INTERVAL_MS = 500;

/** Interval of the checks while an instance waits to exit, in milliseconds; a fraction of the time that joining takes. */
const STOPPING_CHECK_INTERVAL_MS = 50;

/** Time for an invited instance to join before the next invitation, in milliseconds. */
const INVITE_TIMEOUT_MS = 3_000;

/** Options of the voter changes. */
export interface VoterChangesOptions {
  clock: Clock;
  logger: Logger;
  /** Number of disks that may be lost at the same time. */
  tolerance: number;
  /** Returns the log while this instance leads it. */
  getLog: () =>
    | Pick<ReplicatedLog, "getStatus" | "removeMember" | "releaseLeadership">
    | undefined;
  server: Pick<
    GatewayServer,
    "getDataCentre" | "invite" | "listStandbys" | "listStopping" | "release"
  >;
}

/** Changes the voters while this instance leads. */
export interface VoterChanges {
  /** Checks the voters without waiting for the interval. */
  checkSoon(): void;
  close(): void;
}

interface Invitation {
  readonly instance: string;
  readonly sentMs: number;
  /** Member identities at the time of the invitation. */
  readonly formerIds: readonly string[];
}

/** Starts the checks of the voters. */
export function startVoterChanges(options: VoterChangesOptions): VoterChanges {
  const { clock, logger, server } = options;
  let invitation: Invitation | undefined;
  /** Time at which each learner was first seen, in milliseconds. */
  let learnersSince = new Map<string, number>();
  let isChanging = false;
  let isClosed = false;
  let timer: Timer | undefined;

  function isInvitationOpen({ members }: LogStatus): boolean {
    if (invitation === undefined) return false;
    const { instance, sentMs, formerIds } = invitation;
    const hasJoined = members.some(({ id }) =>
      parseMemberId(id).instance === instance && !formerIds.includes(id)
    );
    return !hasJoined && clock.now() - sentMs < INVITE_TIMEOUT_MS;
  }

  function listLearners({ members, lag }: LogStatus): LearnerView[] {
    const nowMs = clock.now();
    const ids = members.filter(({ role }) => role === "learner")
      .map(({ id }) => id);
    learnersSince = new Map(
      ids.map((id) => [id, learnersSince.get(id) ?? nowMs]),
    );
    return ids.map((id) => ({
      id,
      instance: parseMemberId(id).instance,
      contactAgeMs: Math.min(
        lag[id]?.ageMs ?? Infinity,
        nowMs - (learnersSince.get(id) ?? nowMs),
      ),
    }));
  }

  function buildInput(
    status: LogStatus,
    stopping: readonly string[],
  ): VotersInput {
    const { members, lag, self } = status;
    const nowMs = clock.now();
    return {
      tolerance: options.tolerance,
      self,
      voters: members.filter(({ role }) => role === "voter").map(({ id }) => {
        const { instance } = parseMemberId(id);
        return {
          id,
          instance,
          dataCentre: server.getDataCentre(instance),
          contactAgeMs: id === self ? 0 : lag[id]?.ageMs ?? 0,
          isStopping: stopping.includes(instance),
        };
      }),
      learners: listLearners(status),
      standbys: server.listStandbys()
        .filter(({ instance }) => !stopping.includes(instance))
        .map(({ instance, dataCentre, sinceMs }) => ({
          instance,
          dataCentre,
          connectedMs: nowMs - sinceMs,
        })),
    };
  }

  /** Runs a change of the log; the next decision waits for its end. */
  async function runChange(change: () => Promise<void>): Promise<void> {
    isChanging = true;
    try {
      await change();
    } catch (error) {
      logger.warn("Cannot change the voters of the work log", { error });
    } finally {
      isChanging = false;
    }
  }

  function apply(
    decision: VotersDecision,
    log: Pick<
      ReplicatedLog,
      "getStatus" | "removeMember" | "releaseLeadership"
    >,
  ): void {
    switch (decision.kind) {
      case "invite":
        invitation = {
          instance: decision.instance,
          sentMs: clock.now(),
          formerIds: log.getStatus().members.map(({ id }) => id),
        };
        logger.info("Inviting a standby to join the work log", decision);
        return server.invite(decision.instance);
      case "remove":
        logger.warn(
          `Removing a ${decision.reason} ${decision.memberRole} from the work log`,
          decision,
        );
        return void runChange(() => log.removeMember(decision.id));
      case "releaseLeadership":
        logger.info("Handing over leadership before a stop");
        return void runChange(() => log.releaseLeadership());
    }
  }

  function reconcile(stopping: readonly string[]): void {
    const log = options.getLog();
    if (log === undefined || isChanging) return;
    const status = log.getStatus();
    const isInviting = isInvitationOpen(status);
    const input = buildInput(status, stopping);
    if (status.hasCommittedMembers && !isInviting) {
      for (const instance of stopping) {
        if (isReleasable(input, instance)) server.release(instance);
      }
    }
    const decision = planVoters(input);
    if (decision === undefined) return;
    if (decision.kind === "invite" && isInviting) return;
    apply(decision, log);
  }

  function check(): void {
    const stopping = server.listStopping();
    reconcile(stopping);
    timer = clock.setTimer(
      stopping.length > 0 ? STOPPING_CHECK_INTERVAL_MS : CHECK_INTERVAL_MS,
      check,
    );
  }

  function checkSoon(): void {
    timer?.cancel();
    if (!isClosed) check();
  }

  checkSoon();

  return {
    checkSoon,
    close() {
      isClosed = true;
      timer?.cancel();
    },
  };
}
