/**
 * Sets of identifiers that must be recognised for a long time, kept as short
 * hashes. Two identifiers with the same fingerprint are taken for one; the
 * users of this module choose so that this refuses a change, never admits one.
 */

import { createHash } from "node:crypto";
import { Buffer } from "node:buffer";

// 48 bits fit a number exactly. With a million members, the chance that an
// identifier is taken for a member is 1 in 280 million.
const FINGERPRINT_BYTES = 6;

/** Computes the fingerprint of a text. */
export function computeFingerprint(text: string): number {
  return createHash("sha256").update(text).digest()
    .readUIntBE(0, FINGERPRINT_BYTES);
}

/** A set of fingerprints, bounded in count. */
export interface FingerprintSet {
  /** Adds `text`; beyond the bound the oldest member is dropped. */
  add(text: string): void;
  has(text: string): boolean;
  getSize(): number;
  /** Members in the order of addition, in base64. */
  encode(): string;
  /** Replaces all members by encoded ones. */
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
