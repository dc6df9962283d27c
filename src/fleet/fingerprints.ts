/**
 * Sets of identifiers that must be recognised for a long time, stored as short
 * hashes. Two identifiers with the same fingerprint count as the same one.
 * Callers must use a set only where such a collision rejects a valid change
 * and never accepts an invalid one.
 */

import { createHash } from "node:crypto";
import { Buffer } from "node:buffer";

// A JavaScript number holds 48 bits exactly. With a million members, a new
// identifier collides with a member at a probability of 1 in 280 million.
const FINGERPRINT_BYTES = 6;

/** Computes the fingerprint of a text. */
export function computeFingerprint(text: string): number {
  return createHash("sha256").update(text).digest()
    .readUIntBE(0, FINGERPRINT_BYTES);
}

/** A set of fingerprints of bounded size. */
export interface FingerprintSet {
  /** Adds `text`; drops the oldest member when the set is full. */
  add(text: string): void;
  has(text: string): boolean;
  getSize(): number;
  /** Encodes the members in order of insertion, as base64. */
  encode(): string;
  /** Replaces all members by the encoded ones. */
  restore(encoded: string): void;
}

/** Creates an empty set of at most `maxCount` members. */
export function createFingerprintSet(maxCount: number): FingerprintSet {
  const members = new Set<number>();

  return {
    add(text) {
      members.add(computeFingerprint(text));
      if (members.size <= maxCount) return;
      const [oldest] = members;
      members.delete(oldest!);
    },
    has: (text) => members.has(computeFingerprint(text)),
    getSize: () => members.size,
    encode() {
      const data = Buffer.alloc(members.size * FINGERPRINT_BYTES);
      let offset = 0;
      for (const member of members) {
        offset = data.writeUIntBE(member, offset, FINGERPRINT_BYTES);
      }
      return data.toString("base64");
    },
    restore(encoded) {
      const data = Buffer.from(encoded, "base64");
      members.clear();
      for (let i = 0; i < data.length; i += FINGERPRINT_BYTES) {
        members.add(data.readUIntBE(i, FINGERPRINT_BYTES));
      }
    },
  };
}
