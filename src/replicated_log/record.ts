/**
 * Checksummed records of the log files: a magic number, the length, a checksum
 * and the payload. The checksum is seeded with the record's offset, so that a
 * payload that contains a record is not decoded as one at another offset.
 */

import { Buffer } from "node:buffer";
import xxhash from "xxhash-wasm";

const MAGIC_NUMBER = 0x524c4347; // "GCLR" in a little-endian file
const HEADER_BYTES = 16;
const LENGTH_OFFSET = 4;
const CHECKSUM_OFFSET = 8;

/** Encodes, decodes and finds records. */
export interface RecordCodec {
  /** Returns the bytes of a record to be written at `offset` of its file. */
  encode(payload: Uint8Array, offset: number): Uint8Array;
  /** Returns the record at `offset`, or undefined if there is no intact one. */
  decode(
    file: Uint8Array,
    offset: number,
  ): { payload: Uint8Array; nextOffset: number } | undefined;
  /** Returns whether an intact record starts after `offset`. */
  hasRecordAfter(file: Uint8Array, offset: number): boolean;
}

/** Loads the checksum function and creates the codec. */
export async function createRecordCodec(): Promise<RecordCodec> {
  const { h64Raw } = await xxhash();
  const magic = Buffer.alloc(LENGTH_OFFSET);
  magic.writeUInt32LE(MAGIC_NUMBER);

  function decode(file: Uint8Array, offset: number) {
    const buffer = Buffer.from(file.buffer, file.byteOffset, file.length);
    if (offset + HEADER_BYTES > buffer.length) return undefined;
    if (buffer.readUInt32LE(offset) !== MAGIC_NUMBER) return undefined;
    const start = offset + HEADER_BYTES;
    const nextOffset = start + buffer.readUInt32LE(offset + LENGTH_OFFSET);
    if (nextOffset > buffer.length) return undefined;
    const payload = buffer.subarray(start, nextOffset);
    const checksum = buffer.readBigUInt64LE(offset + CHECKSUM_OFFSET);
    if (h64Raw(payload, BigInt(offset)) !== checksum) return undefined;
    return { payload, nextOffset };
  }

  return {
    encode(payload, offset) {
      const header = Buffer.alloc(HEADER_BYTES);
      header.writeUInt32LE(MAGIC_NUMBER);
      header.writeUInt32LE(payload.length, LENGTH_OFFSET);
      header.writeBigUInt64LE(h64Raw(payload, BigInt(offset)), CHECKSUM_OFFSET);
      return Buffer.concat([header, payload]);
    },
    decode,
    hasRecordAfter(file, offset) {
      const buffer = Buffer.from(file.buffer, file.byteOffset, file.length);
      let at = buffer.indexOf(magic, offset + 1);
      while (at >= 0) {
        if (decode(file, at) !== undefined) return true;
        at = buffer.indexOf(magic, at + 1);
      }
      return false;
    },
  };
}
