/** Keeps long loops from blocking the event loop. */

/** Items handled in one iteration of the event loop; takes about 10 ms for histograms. */
export const ITEMS_PER_BATCH = 50;

/** Waits until the event loop has processed pending I/O and timers. */
export function waitForImmediate(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}

/** Returns the time for which the event loop has been busy since the process started, in milliseconds. */
export function readBusyMs(): number {
  return performance.eventLoopUtilization().active;
}

/**
 * Calls `handle` for each item and yields to the event loop after each batch. With
 * 890 workspaces, rendering metrics or taking a snapshot takes hundreds of
 * milliseconds in total; requests and heartbeats are served in between.
 */
export async function runInBatches<T>(
  items: Iterable<T>,
  handle: (item: T) => void,
): Promise<void> {
  let count = 0;
  for (const item of items) {
    handle(item);
    count++;
    if (count % ITEMS_PER_BATCH === 0) await waitForImmediate();
  }
}
