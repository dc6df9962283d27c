/**
 * Fencing tokens of the orders to runners. A runner ignores an order with a lower
 * token than it has seen. Each leadership has higher tokens than the ones before, and
 * each incarnation of a runner that registers gets a new token: an order names a
 * runner by its id, which the next incarnation may keep, so that without a higher
 * token it would execute late orders that were sent to the former one.
 */

/** Tokens of one term; the product with a term is an exact number up to term 2 ** 29. */
const TOKENS_PER_TERM = 2 ** 24;

/** The fencing tokens of one process. */
export interface FencingTokens {
  /**
   * Creates a token that is higher than all tokens of lower terms, and than all
   * earlier ones of this process: it may lead again in the same term.
   */
  create(term: number): number;
}

/** Creates fencing tokens. */
export function createFencingTokens(): FencingTokens {
  let newest = 0;

  return {
    create(term) {
      newest = Math.max(newest + 1, term * TOKENS_PER_TERM);
      return newest;
    },
  };
}
