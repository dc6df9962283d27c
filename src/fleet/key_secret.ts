/**
 * Key secrets. A secret is generated on the operator's machine and shown once;
 * the fleet log and the instances store its SHA-256 hash only.
 */

import { createHash, randomBytes, timingSafeEqual } from "node:crypto";
import { Buffer } from "node:buffer";
import type { KeySecret } from "./types.ts";

/** Number of random bytes in a secret. */
export const SECRET_RANDOM_BYTES = 32;
const ID_RANDOM_BYTES = 8;
const SECRET_PATTERN =
  /^gcl_([A-Za-z0-9][A-Za-z0-9-]{0,62})_[A-Za-z0-9_-]{43}$/;

/** Options of `createKeySecret`. */
export interface KeySecretOptions {
  /** Identifier of the key; random by default. */
  id?: string;
  /** Source of random bytes. Default: the system's secure one; real keys need it. */
  getRandomBytes?: (count: number) => Uint8Array;
}

/** Computes the SHA-256 hash of a secret in lower-case hex, as a change contains it. */
export function computeSecretHash(secret: string): string {
  return createHash("sha256").update(secret).digest("hex");
}

/** Creates a secret of the form `gcl_<id>_<random>`. */
export function createKeySecret(options: KeySecretOptions = {}): KeySecret {
  const getBytes = options.getRandomBytes ?? randomBytes;
  const id = options.id ??
    Buffer.from(getBytes(ID_RANDOM_BYTES)).toString("hex");
  const random = Buffer.from(getBytes(SECRET_RANDOM_BYTES))
    .toString("base64url");
  const secret = `gcl_${id}_${random}`;
  return { id, secret, hash: computeSecretHash(secret) };
}

/** Returns the key identifier in a secret, or `undefined` if the format is wrong. */
export function findSecretKeyId(secret: string): string | undefined {
  return SECRET_PATTERN.exec(secret)?.[1];
}

const UNKNOWN_KEY_HASH = "0".repeat(64);

/**
 * Tells whether `secret` has the given hash. The comparison takes constant
 * time, and an unknown key runs through the same code as a known one.
 */
export function isSecretOfHash(
  secret: string,
  hash: string | undefined,
): boolean {
  const found = createHash("sha256").update(secret).digest();
  const expected = Buffer.from(hash ?? UNKNOWN_KEY_HASH, "hex");
  return timingSafeEqual(found, expected) && hash !== undefined;
}
