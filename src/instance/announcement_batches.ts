/**
 * Batches worker announcements for some milliseconds and sends each batch to the
 * leader of the data centre in one call. One call per announcement cost the
 * leader about 1 ms of processor time, most of it for the call itself.
 */

import { Buffer } from "node:buffer";
import { type Clock, createFault, isFaultKind } from "../common/mod.ts";
import type { WorkerAnnouncementReply } from "../data_centre/announcements.ts";
import type {
  AnnouncementBatch,
  AnnouncementReplies,
  AnnouncementReply,
} from "../rpc/mod.ts";

/** Time during which announcements are batched, in milliseconds; short compared with leases of seconds. */
export const BATCH_WINDOW_MS = 20;

/** Maximum announcements in one call; at 14 tasks each they take about 400 KB. */
export const BATCH_MAX_COUNT = 200;

/** Options of `createAnnouncementBatches`. */
export interface AnnouncementBatchesOptions {
  clock: Clock;
  /** Calls the leader of a data centre. */
  sendBatch: (
    dataCentre: string,
    batch: AnnouncementBatch,
  ) => Promise<AnnouncementReplies>;
}

/** Sends worker announcements in batches. */
export interface AnnouncementBatches {
  /** Resolves to the leader's reply; rejects with its fault. */
  send(
    dataCentre: string,
    body: Uint8Array,
  ): Promise<WorkerAnnouncementReply>;
}

interface PendingAnnouncement {
  body: Uint8Array;
  resolve: (reply: WorkerAnnouncementReply) => void;
  reject: (error: unknown) => void;
}

function handleReply(
  waiting: PendingAnnouncement,
  reply: AnnouncementReply,
): void {
  if (reply.fault.length === 0) {
    waiting.resolve(JSON.parse(Buffer.from(reply.body).toString()));
    return;
  }
  const { kind, message, ran } = JSON.parse(
    Buffer.from(reply.fault).toString(),
  );
  waiting.reject(
    createFault(isFaultKind(kind) ? kind : "internal", message, { ran }),
  );
}

/** Creates a sender with separate batches for each data centre. */
export function createAnnouncementBatches(
  options: AnnouncementBatchesOptions,
): AnnouncementBatches {
  const pendingByDataCentre = new Map<string, PendingAnnouncement[]>();

  async function sendPending(dataCentre: string): Promise<void> {
    const batch = pendingByDataCentre.get(dataCentre) ?? [];
    pendingByDataCentre.delete(dataCentre);
    if (batch.length === 0) return;
    try {
      const { replies } = await options.sendBatch(dataCentre, {
        bodies: batch.map(({ body }) => body),
      });
      for (const [index, waiting] of batch.entries()) {
        const reply = replies[index];
        if (reply !== undefined) handleReply(waiting, reply);
        else {waiting.reject(
            createFault(
              "internal",
              "Cannot find the announcement in the reply",
            ),
          );}
      }
    } catch (error) {
      for (const waiting of batch) waiting.reject(error);
    }
  }

  return {
    send(dataCentre, body) {
      return new Promise((resolve, reject) => {
        const batch = pendingByDataCentre.get(dataCentre) ?? [];
        batch.push({ body, resolve, reject });
        if (batch.length === 1) {
          pendingByDataCentre.set(dataCentre, batch);
          options.clock.setTimer(
            BATCH_WINDOW_MS,
            () => void sendPending(dataCentre),
          );
        }
        if (batch.length >= BATCH_MAX_COUNT) void sendPending(dataCentre);
      });
    },
  };
}
