/**
 * Makes the writes that the consensus core requests, one batch at a time. Writes
 * requested while a batch is being synced go into the next batch, so the number
 * of syncs per write falls as the load rises.
 */

import type { StoreRequest } from "./consensus_state.ts";
import type { LogEntry, LogMessage, LogStorage } from "./types.ts";

/** Data made durable by a completed batch. */
export interface StoredBatch {
  /** Number of the latest change of term or vote in the batch, or 0. */
  voteChange: number;
  /** Position of the last entry of each append, and of each snapshot. */
  positions: { index: number; term: number }[];
}

/** A queue of writes and of messages that wait for them. */
export interface StoreQueue {
  /** Adds writes, and messages to be sent once they are durable. */
  add(requests: readonly StoreRequest[], messages: readonly LogMessage[]): void;
  /** Resolves when nothing is left to write, or after a failure. */
  waitUntilIdle(): Promise<void>;
}

/** Options of `createStoreQueue`. */
export interface StoreQueueOptions {
  storage: LogStorage;
  send: (message: LogMessage) => void;
  onStored: (batch: StoredBatch) => void;
  /** Called once after a failure; the queue makes no further writes. */
  onFailure: (error: unknown) => void;
}

function mergeAppends(
  first: StoreRequest & { kind: "append" },
  second: StoreRequest & { kind: "append" },
): StoreRequest {
  const from = second.truncateFrom;
  if (from === undefined) {
    for (const entry of second.entries) first.entries.push(entry);
    return first;
  }
  const kept = first.entries.filter((entry) => entry.index < from);
  const entries: LogEntry[] = [...kept, ...second.entries];
  const truncateFrom = Math.min(first.truncateFrom ?? Infinity, from);
  return { kind: "append", entries, truncateFrom };
}

/** Adds a request to a batch; merges adjacent appends, so that they need only one sync. */
function mergeRequest(batch: StoreRequest[], request: StoreRequest): void {
  const last = batch.at(-1);
  if (last?.kind === "append" && request.kind === "append") {
    batch[batch.length - 1] = mergeAppends(last, request);
  } else if (request.kind === "append") {
    batch.push({ ...request, entries: [...request.entries] });
  } else {
    batch.push(request);
  }
}

/** Creates a write queue for a store. */
export function createStoreQueue(options: StoreQueueOptions): StoreQueue {
  const { storage } = options;
  let requests: StoreRequest[] = [];
  let messages: LogMessage[] = [];
  let isRunning = false;
  let hasFailed = false;
  let idleCallbacks: (() => void)[] = [];

  async function saveRequest(request: StoreRequest): Promise<void> {
    switch (request.kind) {
      case "vote":
        return await storage.saveVote(request.vote);
      case "append":
        return await storage.append(request.entries, request.truncateFrom);
      case "snapshot":
        return await storage.saveSnapshot(request.snapshot);
    }
  }

  function toStoredBatch(batch: readonly StoreRequest[]): StoredBatch {
    const stored: StoredBatch = { voteChange: 0, positions: [] };
    for (const request of batch) {
      if (request.kind === "vote") {
        stored.voteChange = request.change;
        continue;
      }
      const last = request.kind === "snapshot"
        ? request.snapshot
        : request.entries.at(-1);
      if (last === undefined) continue;
      stored.positions.push({ index: last.index, term: last.term });
    }
    return stored;
  }

  async function runBatch(): Promise<void> {
    const batch = requests;
    const waiting = messages;
    requests = [];
    messages = [];
    for (const request of batch) await saveRequest(request);
    if (batch.length > 0) options.onStored(toStoredBatch(batch));
    for (const message of waiting) options.send(message);
  }

  async function run(): Promise<void> {
    isRunning = true;
    try {
      while (requests.length > 0 || messages.length > 0) await runBatch();
    } catch (error) {
      hasFailed = true;
      requests = [];
      messages = [];
      options.onFailure(error);
    }
    isRunning = false;
    const callbacks = idleCallbacks;
    idleCallbacks = [];
    for (const callback of callbacks) callback();
  }

  return {
    add(addedRequests, addedMessages) {
      if (hasFailed) return;
      for (const request of addedRequests) mergeRequest(requests, request);
      messages.push(...addedMessages);
      const isEmpty = requests.length === 0 && messages.length === 0;
      if (!isRunning && !isEmpty) void run();
    },
    waitUntilIdle() {
      if (!isRunning) return Promise.resolve();
      return new Promise((resolve) => idleCallbacks.push(resolve));
    },
  };
}
