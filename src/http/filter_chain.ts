/**
 * The filter chain of requests. Each filter does one step and hands on to the
 * next; what it has found out stays in the context.
 */

/** One step of a chain; calls `next` to go on, or returns or throws to end. */
export type Filter<Context> = (
  context: Context,
  next: () => Promise<void>,
) => Promise<void>;

/** Joins filters into one function that runs them in order. */
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
