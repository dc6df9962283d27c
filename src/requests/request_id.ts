/**
 * Reads and creates request identifiers with a creation time. These are version
 * 7 UUIDs (RFC 9562), optionally with a prefix `dc:`; any other identifier has
 * no creation time.
 */

import { Buffer } from "node:buffer";

const UUID_V7 =
  /^(?:[^:]*:)?([0-9a-f]{8})-([0-9a-f]{4})-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/i;

/** Returns the creation time in milliseconds since the Unix epoch; undefined if there is none. */
export function parseCreationTime(requestId: string): number | undefined {
  const match = UUID_V7.exec(requestId);
  if (match === null) return undefined;
  return parseInt(`${match[1]}${match[2]}`, 16);
}

/**
 * Creates an identifier with the creation time `wallTimeMs`, for requests
 * without an identifier. `bytes` are 10 random bytes.
 */
export function createTimedRequestId(
  wallTimeMs: number,
  bytes: Uint8Array,
): string {
  const time = Math.floor(wallTimeMs).toString(16).padStart(12, "0");
  const random = Buffer.from(bytes.subarray(0, 10));
  random[0] = (random[0] ?? 0) & 0x0f | 0x70;
  random[2] = (random[2] ?? 0) & 0x3f | 0x80;
  const hex = random.toString("hex");
  return [
    time.slice(0, 8),
    time.slice(8),
    hex.slice(0, 4),
    hex.slice(4, 8),
    hex.slice(8),
  ].join("-");
}
