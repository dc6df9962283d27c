/** Reads request bodies up to a size limit, and parses them as JSON. */

import { Buffer } from "node:buffer";
import type { IncomingMessage } from "node:http";
import { createFault } from "../common/mod.ts";

/**
 * Reads the whole request body. Fault `tooLarge` if it exceeds `maxBytes`, fault
 * `badRequest` if the connection closes before the body is complete.
 */
export async function readBody(
  request: IncomingMessage,
  maxBytes: number,
): Promise<Buffer> {
  const contentLength = Number(request.headers["content-length"] ?? 0);
  if (contentLength > maxBytes) {
    throw createTooLargeFault(contentLength, maxBytes);
  }
  const chunks: Buffer[] = [];
  let length = 0;
  try {
    for await (const chunk of request) {
      length += chunk.length;
      if (length > maxBytes) throw createTooLargeFault(length, maxBytes);
      chunks.push(chunk);
    }
  } catch (error) {
    if (length > maxBytes) throw error;
    throw createFault(
      "badRequest",
      "Cannot read the body: the connection closed before it was complete",
      { cause: error },
    );
  }
  return Buffer.concat(chunks, length);
}

function createTooLargeFault(length: number, maxBytes: number): Error {
  return createFault(
    "tooLarge",
    `Cannot accept a body of ${length} bytes or more: the limit is ${maxBytes} bytes`,
  );
}

/** Parses a JSON body. Fault `badRequest` if it is not valid JSON; `cause` is the parser error. */
export function parseJson(body: Uint8Array): unknown {
  try {
    return JSON.parse(Buffer.from(body).toString("utf8"));
  } catch (error) {
    throw createFault("badRequest", "Cannot parse the body as JSON", {
      cause: error,
    });
  }
}
