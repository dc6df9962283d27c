/** Validates endpoint announcements, which are untrusted input. */

import { z } from "zod";
import { createFault } from "../common/mod.ts";
import type { EndpointAnnouncement } from "./types.ts";

const MAX_NAME_LENGTH = 200;
const MAX_QUEUES = 1_000;
/** Far above any endpoint in use; prevents a faulty announcement from attracting all work. */
const MAX_SLOTS = 10_000;

const NAME = z.string().min(1).max(MAX_NAME_LENGTH);

const ANNOUNCEMENT = z.strictObject({
  endpoint: NAME,
  address: z.url({ protocol: /^https?$/ }).max(MAX_NAME_LENGTH),
  dataCentre: NAME,
  incarnation: z.int().nonnegative(),
  queues: z.array(NAME).max(MAX_QUEUES),
  slots: z.int().nonnegative().max(MAX_SLOTS),
  connections: z.int().nonnegative().max(MAX_SLOTS),
  inFlight: z.int().nonnegative(),
  inFlightByWorkspace: z.record(NAME, z.int().nonnegative()).optional(),
  departing: z.boolean(),
});

/** Parses an announcement; throws `badRequest` listing each invalid field. */
export function parseEndpointAnnouncement(
  input: unknown,
): EndpointAnnouncement {
  const result = ANNOUNCEMENT.safeParse(input);
  if (result.success) return result.data;
  const problems = result.error.issues.map((issue) =>
    `${issue.path.join(".") || "announcement"}: ${issue.message}`
  );
  throw createFault(
    "badRequest",
    `Cannot parse endpoint announcement: ${problems.join("; ")}`,
  );
}
