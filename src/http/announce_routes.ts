/** Routes for announcements from endpoints and workers. */

import {
  type EndpointAnnouncementReply,
  parseWorkerAnnouncement,
  type WorkerAnnouncementReply,
} from "../data_centre/announcements.ts";
import { parseEndpointAnnouncement } from "../requests/mod.ts";
import { parseJson } from "./body.ts";
import { createBodyFilter, type HttpFilter } from "./filters.ts";
import type { HttpRoute } from "./http_server.ts";
import { createJsonResponse } from "./request_context.ts";

/** Maximum size of an announcement, in bytes; a worker lists all its tasks. */
const MAX_ANNOUNCEMENT_BYTES = 4 * 1024 * 1024;

/** Options of `createAnnounceRoutes`. */
export interface AnnounceRoutesOptions {
  /** Forwards a validated endpoint announcement to the leader of its data centre. */
  announceEndpoint: (
    dataCentre: string,
    body: Uint8Array,
  ) => Promise<EndpointAnnouncementReply>;
  /** Forwards a validated worker announcement to the leader of its data centre. */
  announceWorker: (
    dataCentre: string,
    body: Uint8Array,
  ) => Promise<WorkerAnnouncementReply>;
}

/** Creates the announcement routes. */
export function createAnnounceRoutes(
  options: AnnounceRoutesOptions,
): HttpRoute[] {
  const announceEndpoint: HttpFilter = async (context) => {
    const { dataCentre } = parseEndpointAnnouncement(parseJson(context.body));
    context.answer = createJsonResponse(
      await options.announceEndpoint(dataCentre, context.body),
    );
  };

  const announceWorker: HttpFilter = async (context) => {
    const { dataCentre } = parseWorkerAnnouncement(parseJson(context.body));
    context.answer = createJsonResponse(
      await options.announceWorker(dataCentre, context.body),
    );
  };

  return [
    {
      method: "POST",
      path: "/v1/endpoints/announce",
      filters: [createBodyFilter(MAX_ANNOUNCEMENT_BYTES), announceEndpoint],
    },
    {
      method: "POST",
      path: "/v1/workers/announce",
      filters: [createBodyFilter(MAX_ANNOUNCEMENT_BYTES), announceWorker],
    },
  ];
}
