/** Reads request bodies up to a bound. */

import { Buffer } from "node:buffer";
import type { IncomingMessage } from "node:http";
import { createFault } from "../common/mod.ts";

/**
 * Reads the whole body; fault `tooLarge` past `maxBytes`, fault `badRequest`
 * when the connection ends before the announced length has arrived.
 */
export async function readBody(
  request: IncomingMessage,
  maxBytes: number,
): Promise<Buffer> {
  const announced = Number(request.headers["content-length"] ?? 0);
  if (announced > maxBytes) throw createTooLarge(announced, maxBytes);
  const chunks: Buffer[] = [];
  let length = 0;
  try {
    for await (const chunk of request) {
      length += chunk.length;
      if (length > maxBytes) throw createTooLarge(length, maxBytes);
      chunks.push(chunk);
    }
  } catch (error) {
    if (length > maxBytes) throw error;
    throw createFault("badRequest", "Cannot read the whole body", {
      cause: error,
    });
  }
  return Buffer.concat(chunks, length);
}

function createTooLarge(length: number, maxBytes: number): Error {
  return createFault(
    "tooLarge",
    `Cannot accept a body of ${length} bytes or more: the limit is ${maxBytes} bytes`,
  );
}

/** Parses a JSON body; fault `badRequest` with the parser's message. */
export function parseJson(body: Uint8Array): unknown {
  try {
    return JSON.parse(Buffer.from(body).toString("utf8"));
  } catch (error) {
    throw createFault("badRequest", "Cannot parse the body as JSON", {
      cause: error,
    });
  }
}
