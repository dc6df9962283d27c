/** Filters that most routes share. */

import { Buffer } from "node:buffer";
import { createHash, timingSafeEqual } from "node:crypto";
import { createFault } from "../common/mod.ts";
import type { FleetView } from "../fleet/types.ts";
import { readBody } from "./body.ts";
import type { Filter } from "./filter_chain.ts";
import { getBearerToken, type RequestContext } from "./request_context.ts";

/** A filter of an HTTP route. */
export type HttpFilter = Filter<RequestContext>;

/** Refuses new work while `getRefusal` gives a reason; the work has not run. */
export function createRefusalFilter(
  getRefusal: () => string | undefined,
): HttpFilter {
  return async (_context, next) => {
    const reason = getRefusal();
    if (reason !== undefined) {
      throw createFault("unavailable", `Cannot take new work: ${reason}`);
    }
    await next();
  };
}

/** Reads the body up to `maxBytes`. */
export function createBodyFilter(maxBytes: number): HttpFilter {
  return async (context, next) => {
    context.body = await readBody(context.request, maxBytes);
    await next();
  };
}

/** Requires a key and sets the workspace that it belongs to. */
export function createApiKeyFilter(view: FleetView): HttpFilter {
  return async (context, next) => {
    context.workspace = view.checkKey(getBearerToken(context)).name;
    context.logFields["workspace"] = context.workspace;
    await next();
  };
}

/** Requires the operators' token; without a hash in the settings the interface is open. */
export function createOperatorTokenFilter(tokenHash?: string): HttpFilter {
  return async (context, next) => {
    if (tokenHash !== undefined) {
      const token = getBearerToken(context) ?? "";
      const hash = createHash("sha256").update(token).digest();
      const expected = Buffer.from(tokenHash, "hex");
      const isEqual = hash.length === expected.length &&
        timingSafeEqual(hash, expected);
      if (!isEqual) {
        throw createFault(
          "unauthenticated",
          "Cannot accept the operators' token",
        );
      }
    }
    await next();
  };
}
