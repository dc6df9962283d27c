/**
 * Amounts of resources. All are integers, so that sums of many small amounts
 * stay exact and the capacity check needs no tolerance.
 */

/** An amount of each resource of a worker. */
export interface Resources {
  /** Processor time in thousandths of a core. */
  readonly processors: number;
  /** Memory in mebibytes. */
  readonly memoryMb: number;
  /** Whole accelerators. */
  readonly accelerators: number;
}

/** The names of the resources. */
export const RESOURCE_NAMES = Object.freeze(
  ["processors", "memoryMb", "accelerators"] as const,
);

/** Thousandths of a core in one core. */
export const PROCESSOR_UNITS_PER_CORE = 1_000;

/** No resources. */
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

/** Returns `a - b`; amounts may become negative. */
export function subtractResources(a: Resources, b: Resources): Resources {
  return {
    processors: a.processors - b.processors,
    memoryMb: a.memoryMb - b.memoryMb,
    accelerators: a.accelerators - b.accelerators,
  };
}

/** Returns `amount` times the integer `count`. */
export function multiplyResources(amount: Resources, count: number): Resources {
  return {
    processors: amount.processors * count,
    memoryMb: amount.memoryMb * count,
    accelerators: amount.accelerators * count,
  };
}

/** Tells whether `amount` is no more than `room` in every resource. */
export function fitsWithin(amount: Resources, room: Resources): boolean {
  return amount.processors <= room.processors &&
    amount.memoryMb <= room.memoryMb &&
    amount.accelerators <= room.accelerators;
}
