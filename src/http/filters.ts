/** Filters shared by most routes. */

import { Buffer } from "node:buffer";
import { createHash, timingSafeEqual } from "node:crypto";
import { createFault } from "../common/mod.ts";
import type { FleetView } from "../fleet/types.ts";
import { readBody } from "./body.ts";
import type { Filter } from "./filter_chain.ts";
import { getBearerToken, type RequestContext } from "./request_context.ts";

/** A filter of an HTTP route. */
export type HttpFilter = Filter<RequestContext>;

/** Rejects new work with fault `unavailable` while `getRefusal` returns a reason. The work has not run. */
export function createRefusalFilter(
  getRefusal: () => string | undefined,
): HttpFilter {
  return async (_context, next) => {
    const reason = getRefusal();
    if (reason !== undefined) {
      throw createFault("unavailable", `Cannot accept new work: ${reason}`);
    }
    await next();
  };
}

/** Reads the body into the context; fault `tooLarge` if it exceeds `maxBytes`. */
export function createBodyFilter(maxBytes: number): HttpFilter {
  return async (context, next) => {
    context.body = await readBody(context.request, maxBytes);
    await next();
  };
}

/** Requires a valid API key and sets the workspace it belongs to. */
export function createApiKeyFilter(view: FleetView): HttpFilter {
  return async (context, next) => {
    context.workspace = view.checkKey(getBearerToken(context)).name;
    context.logFields["workspace"] = context.workspace;
    await next();
  };
}

/** Throws `unauthenticated` without the operator token. Without a hash in the settings, no token is required. */
export function checkOperatorToken(
  context: RequestContext,
  tokenHash?: string,
): void {
  if (tokenHash === undefined) return;
  const token = getBearerToken(context) ?? "";
  const hash = createHash("sha256").update(token).digest();
  const expected = Buffer.from(tokenHash, "hex");
  const isEqual = hash.length === expected.length &&
    timingSafeEqual(hash, expected);
  if (isEqual) return;
  throw createFault(
    "unauthenticated",
    "Cannot accept operator token: it is missing or wrong",
  );
}

/** Requires the operator token. Without a hash in the settings, no token is required. */
export function createOperatorTokenFilter(tokenHash?: string): HttpFilter {
  return async (context, next) => {
    checkOperatorToken(context, tokenHash);
    await next();
  };
}
