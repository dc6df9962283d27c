/**
 * Checksummed records of the log files: a mark, the length, a checksum and the
 * bytes. The checksum is seeded with the record's position, so that bytes
 * which happen to look like a record are not taken for one elsewhere.
 */

import { Buffer } from "node:buffer";
import xxhash from "xxhash-wasm";

const MARK = 0x524c4347; // "GCLR" in a little-endian file
const HEADER_BYTES = 16;
const LENGTH_AT = 4;
const CHECKSUM_AT = 8;

/** Encodes records and finds them again. */
export interface RecordCodec {
  /** Returns the bytes of a record that starts at `offset` of its file. */
  encode(payload: Uint8Array, offset: number): Uint8Array;
  /** Returns the record at `offset`, or undefined when none is intact there. */
  decode(
    file: Uint8Array,
    offset: number,
  ): { payload: Uint8Array; nextOffset: number } | undefined;
  /** Tells whether an intact record starts after `offset`. */
  hasLater(file: Uint8Array, offset: number): boolean;
}

/** Loads the checksum function and creates the codec. */
export async function createRecordCodec(): Promise<RecordCodec> {
  const { h64Raw } = await xxhash();
  const mark = Buffer.alloc(LENGTH_AT);
  mark.writeUInt32LE(MARK);

  function decode(file: Uint8Array, offset: number) {
    const buffer = Buffer.from(file.buffer, file.byteOffset, file.length);
    if (offset + HEADER_BYTES > buffer.length) return undefined;
    if (buffer.readUInt32LE(offset) !== MARK) return undefined;
    const start = offset + HEADER_BYTES;
    const nextOffset = start + buffer.readUInt32LE(offset + LENGTH_AT);
    if (nextOffset > buffer.length) return undefined;
    const payload = buffer.subarray(start, nextOffset);
    const checksum = buffer.readBigUInt64LE(offset + CHECKSUM_AT);
    if (h64Raw(payload, BigInt(offset)) !== checksum) return undefined;
    return { payload, nextOffset };
  }

  return {
    encode(payload, offset) {
      const header = Buffer.alloc(HEADER_BYTES);
      header.writeUInt32LE(MARK);
      header.writeUInt32LE(payload.length, LENGTH_AT);
      header.writeBigUInt64LE(h64Raw(payload, BigInt(offset)), CHECKSUM_AT);
      return Buffer.concat([header, payload]);
    },
    decode,
    hasLater(file, offset) {
      const buffer = Buffer.from(file.buffer, file.byteOffset, file.length);
      let at = buffer.indexOf(mark, offset + 1);
      while (at >= 0) {
        if (decode(file, at) !== undefined) return true;
        at = buffer.indexOf(mark, at + 1);
      }
      return false;
    },
  };
}
