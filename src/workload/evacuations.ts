/**
 * The data centres that operators have evacuated: no task is started there until the
 * evacuation is withdrawn. They are part of the replicated state, so they outlive a
 * change of leader and a loss of power. The order of the records decides between an
 * evacuation and its withdrawal.
 */

/** A data centre in which no task is started. */
export interface Evacuation {
  readonly dataCentre: string;
  /** Wall time of the evacuation in milliseconds. */
  readonly sinceMs: number;
}

/** The record of an evacuation or of its withdrawal. */
export interface EvacuationRecord {
  readonly kind: "evacuation";
  readonly dataCentre: string;
  /** False for a withdrawal. */
  readonly isEvacuated: boolean;
  /** Wall time of the record in milliseconds. */
  readonly atMs: number;
}

/** The evacuated data centres. */
export interface Evacuations {
  /** Applies a record; a repetition keeps the time of the first one. */
  apply(record: EvacuationRecord): void;
  has(dataCentre: string): boolean;
  /** Lists the evacuations in the order of their records. */
  list(): Evacuation[];
  /** Replaces all by those of a snapshot. */
  restore(evacuations: readonly Evacuation[]): void;
}

/** Creates an empty collection. */
export function createEvacuations(): Evacuations {
  const sinceMs = new Map<string, number>();

  return {
    apply({ dataCentre, isEvacuated, atMs }) {
      if (!isEvacuated) sinceMs.delete(dataCentre);
      else if (!sinceMs.has(dataCentre)) sinceMs.set(dataCentre, atMs);
    },
    has: (dataCentre) => sinceMs.has(dataCentre),
    list: () =>
      [...sinceMs].map(([dataCentre, since]) => ({
        dataCentre,
        sinceMs: since,
      })),
    restore(evacuations) {
      sinceMs.clear();
      for (const { dataCentre, sinceMs: since } of evacuations) {
        sinceMs.set(dataCentre, since);
      }
    },
  };
}
