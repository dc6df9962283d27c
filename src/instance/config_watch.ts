/**
 * Keeps the read copy of the configuration current. A voter streams updates and,
 * while nothing changes, a confirmation every second. When a stream stays idle
 * for too long, the watch drops it and connects to the next source.
 */

import type { ClientReadableStream } from "@grpc/grpc-js";
import type { Clock, Logger, Timer } from "../common/mod.ts";
import type { ConfigUpdate, FleetView } from "../fleet/types.ts";
import type { PeerSet } from "../rpc/mod.ts";

/** Interval between confirmations, in milliseconds. */
export const CONFIRM_PERIOD_MS = 1_000;

/** Time without a message after which a stream is dropped, in milliseconds. */
const STREAM_IDLE_TIMEOUT_MS = 3_000;

/** Maximum age of a confirmation that counts as current, in milliseconds. */
const CURRENT_AGE_MS = 5_000;

/** Delay before the next source is tried, in milliseconds. */
const REOPEN_DELAY_MS = 200;

/** Options of a watch. */
export interface ConfigWatchOptions {
  instance: string;
  view: FleetView;
  peers: PeerSet;
  clock: Clock;
  logger: Logger;
  /** Returns the instances to watch, best first; called for each attempt. */
  listSources: () => string[];
  /** Called when a source with a current copy has confirmed the version of the view. */
  handleConfirmed: () => void;
}

/** A running watch. */
export interface ConfigWatch {
  stop(): void;
}

/** Starts the watch; it reconnects until it is stopped. */
export function startConfigWatch(options: ConfigWatchOptions): ConfigWatch {
  const { view, clock } = options;
  let attempt = 0;
  let isStopped = false;
  let stream: ClientReadableStream<ConfigUpdate> | undefined;
  let timer: Timer | undefined;

  function setIdleTimer(): void {
    timer?.cancel();
    timer = clock.setTimer(STREAM_IDLE_TIMEOUT_MS, () => restart("silent"));
  }

  function restart(reason: string): void {
    timer?.cancel();
    stream?.cancel();
    stream = undefined;
    if (isStopped) return;
    attempt += 1;
    options.logger.debug("Configuration stream ended", { reason });
    timer = clock.setTimer(REOPEN_DELAY_MS, open);
  }

  function receive(update: ConfigUpdate): void {
    setIdleTimer();
    // An update without data only confirms the version.
    if (update.data.length > 0) {
      if (view.applyUpdate(update) === "needsFullState") {
        return restart("gap in the versions");
      }
    }
    if (view.getVersion() >= update.version) {
      view.confirmVersion(update.version, update.ageMs);
      if (update.ageMs <= CURRENT_AGE_MS) options.handleConfirmed();
    }
  }

  function open(): void {
    const sources = options.listSources();
    const source = sources[attempt % Math.max(1, sources.length)];
    if (source === undefined) return restart("no source");
    const opened = options.peers.get(source).openReadStream<ConfigUpdate>(
      "Fleet.watch",
      { instance: options.instance, version: view.getVersion() },
    );
    stream = opened;
    setIdleTimer();
    opened.on("data", (update: ConfigUpdate) => {
      if (stream === opened) receive(update);
    });
    const handleEnd = () => {
      if (stream === opened) restart("closed by the source");
    };
    opened.on("error", handleEnd);
    opened.on("end", handleEnd);
  }

  open();

  return {
    stop() {
      isStopped = true;
      timer?.cancel();
      stream?.cancel();
    },
  };
}
