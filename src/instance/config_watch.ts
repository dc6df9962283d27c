/**
 * Keeps the read copy of the configuration current: a stream from a voter sends
 * updates and, while nothing changes, a confirmation every second. A stream
 * that falls silent is dropped and another source is asked.
 */

import type { ClientReadableStream } from "@grpc/grpc-js";
import type { Clock, Logger, Timer } from "../common/mod.ts";
import type { ConfigUpdate, FleetView } from "../fleet/types.ts";
import type { PeerSet } from "../rpc/mod.ts";

/** Time between confirmations on an idle stream, in milliseconds. */
export const CONFIRM_PERIOD_MS = 1_000;

/** A stream without a message for this long is dropped, in milliseconds. */
const STREAM_IDLE_TIMEOUT_MS = 3_000;

/** A confirmation counts as current up to this age, in milliseconds. */
const CURRENT_AGE_MS = 5_000;

/** Time before another source is asked, in milliseconds. */
const REOPEN_DELAY_MS = 200;

/** Options of a watch. */
export interface ConfigWatchOptions {
  instance: string;
  view: FleetView;
  peers: PeerSet;
  clock: Clock;
  logger: Logger;
  /** Instances to ask, best first; asked for at each attempt. */
  listSources: () => string[];
  /** Called when a source has confirmed that the view is as current as its own. */
  handleConfirmed: () => void;
}

/** A running watch. */
export interface ConfigWatch {
  stop(): void;
}

/** Starts the watch. */
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
