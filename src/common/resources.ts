/**
 * Resource amounts. All are integers, so sums of many small amounts stay exact
 * and capacity checks need no tolerance.
 */

/** An amount of each worker resource. */
export interface Resources {
  /** Processor time in thousandths of a core. */
  readonly processors: number;
  /** Memory in mebibytes. */
  readonly memoryMb: number;
  /** Number of accelerators. */
  readonly accelerators: number;
}

/** The names of the resources. */
export const RESOURCE_NAMES = Object.freeze(
  ["processors", "memoryMb", "accelerators"] as const,
);

/** Units of processor time in one core; one unit is a thousandth of a core. */
export const PROCESSOR_UNITS_PER_CORE = 1_000;

/** Zero of every resource. */
export const NO_RESOURCES: Resources = Object.freeze({
  processors: 0,
  memoryMb: 0,
  accelerators: 0,
});

/** Returns `a + b`. */
export function addResources(a: Resources, b: Resources): Resources {
  return {
    processors: a.processors + b.processors,
    memoryMb: a.memoryMb + b.memoryMb,
    accelerators: a.accelerators + b.accelerators,
  };
}

/** Returns `a - b`; the result may be negative. */
export function subtractResources(a: Resources, b: Resources): Resources {
  return {
    processors: a.processors - b.processors,
    memoryMb: a.memoryMb - b.memoryMb,
    accelerators: a.accelerators - b.accelerators,
  };
}

/** Returns the smaller amount of each resource. */
export function computeSmallerResources(a: Resources, b: Resources): Resources {
  return {
    processors: Math.min(a.processors, b.processors),
    memoryMb: Math.min(a.memoryMb, b.memoryMb),
    accelerators: Math.min(a.accelerators, b.accelerators),
  };
}

/** Tells whether two amounts are the same. */
export function isSameAmount(a: Resources, b: Resources): boolean {
  return fitsWithin(a, b) && fitsWithin(b, a);
}

/** Returns `amount` times the integer `count`. */
export function multiplyResources(amount: Resources, count: number): Resources {
  return {
    processors: amount.processors * count,
    memoryMb: amount.memoryMb * count,
    accelerators: amount.accelerators * count,
  };
}

/** Checks whether `amount` is at most `available` in every resource. */
export function fitsWithin(amount: Resources, available: Resources): boolean {
  return amount.processors <= available.processors &&
    amount.memoryMb <= available.memoryMb &&
    amount.accelerators <= available.accelerators;
}
