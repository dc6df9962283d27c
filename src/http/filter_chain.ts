/**
 * Chains request filters as middleware. Each filter does one step, stores its
 * results in the context and calls the next filter.
 */

/** One filter of a chain. Calls `next` to continue; returns without it, or throws, to end the chain. */
export type Filter<Context> = (
  context: Context,
  next: () => Promise<void>,
) => Promise<void>;

/** Combines filters into a single function that runs them in order. */
export function createFilterChain<Context>(
  filters: readonly Filter<Context>[],
): (context: Context) => Promise<void> {
  async function runFrom(index: number, context: Context): Promise<void> {
    const filter = filters[index];
    if (filter === undefined) return;
    await filter(context, () => runFrom(index + 1, context));
  }
  return (context) => runFrom(0, context);
}
