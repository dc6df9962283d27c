/** Serves configuration streams from a voter to the other instances. */

import type { ServerWritableStream } from "@grpc/grpc-js";
import { type Clock, createFault, type Timer } from "../common/mod.ts";
import type { ConfigUpdate, UpdateHistory } from "../fleet/types.ts";
import { encodeFault, type WatchRequest } from "../rpc/mod.ts";
import { CONFIRM_PERIOD_MS } from "./config_watch.ts";

/** A stream to one watcher. */
export type WatchStream = ServerWritableStream<WatchRequest, ConfigUpdate>;

/** Options of a source. */
export interface ConfigSourceOptions {
  history: UpdateHistory;
  clock: Clock;
  /** Milliseconds since this instance's version was last confirmed as current. */
  getAgeMs: () => number;
  /** Checked for each new stream; a copy that was never confirmed is not served. */
  isReady: () => boolean;
}

/** Serves configuration updates to watchers. */
export interface ConfigSource {
  addWatcher(stream: WatchStream): void;
  /** Sends new updates to every watcher. */
  sendUpdates(): void;
  countWatchers(): number;
  stop(): void;
}

interface Watcher {
  stream: WatchStream;
  version: number;
  hasBackpressure: boolean;
}

/** Creates a source and starts its periodic confirmations. */
export function createConfigSource(options: ConfigSourceOptions): ConfigSource {
  const { history } = options;
  const watchers = new Set<Watcher>();
  let timer: Timer | undefined;

  function sendTo(watcher: Watcher): void {
    // A slow watcher gets all missed updates once its stream has drained.
    if (watcher.hasBackpressure) return;
    const updates = history.buildUpdates(watcher.version, options.getAgeMs());
    for (const update of updates) {
      watcher.hasBackpressure = !watcher.stream.write(update);
      watcher.version = update.version;
    }
  }

  function sendConfirmations(): void {
    const ageMs = options.getAgeMs();
    for (const watcher of watchers) {
      sendTo(watcher);
      if (watcher.hasBackpressure || !Number.isFinite(ageMs)) continue;
      watcher.hasBackpressure = !watcher.stream.write({
        version: watcher.version,
        snapshot: false,
        data: new Uint8Array(),
        ageMs: Math.ceil(ageMs),
      });
    }
    timer = options.clock.setTimer(CONFIRM_PERIOD_MS, sendConfirmations);
  }

  sendConfirmations();

  return {
    addWatcher(stream) {
      if (!options.isReady()) {
        const fault = createFault(
          "unavailable",
          "Cannot serve the configuration: it has not been confirmed yet",
        );
        return void stream.emit("error", encodeFault(fault));
      }
      const watcher = {
        stream,
        version: stream.request.version,
        hasBackpressure: false,
      };
      watchers.add(watcher);
      stream.on("drain", () => {
        watcher.hasBackpressure = false;
        sendTo(watcher);
      });
      const remove = () => void watchers.delete(watcher);
      stream.on("cancelled", remove);
      stream.on("error", remove);
      stream.on("close", remove);
      sendTo(watcher);
    },
    sendUpdates() {
      for (const watcher of watchers) sendTo(watcher);
    },
    countWatchers: () => watchers.size,
    stop() {
      timer?.cancel();
      for (const watcher of watchers) watcher.stream.end();
      watchers.clear();
    },
  };
}
