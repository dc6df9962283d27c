/** Lets other work of the process go on during long loops. */

/** Items of a loop that are handled in one turn of the event loop; about 10 ms for histograms. */
export const ITEMS_PER_BATCH = 50;

/** Waits until pending input and timers have been served. */
export function waitForImmediate(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}

/**
 * Runs `handle` for each item. Requests and heartbeats are served in between:
 * with 890 workspaces, a page or snapshot takes hundreds of milliseconds in all.
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
