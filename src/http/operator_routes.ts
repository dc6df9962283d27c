/** Routes for operators: changes, configuration, status, burn report, metrics and health. */

import { z } from "zod";
import { parseWithSchema } from "../data_centre/announcements.ts";
import type { FleetState, Key, Queue, Workspace } from "../fleet/types.ts";
import { parseJson } from "./body.ts";
import {
  createBodyFilter,
  createOperatorTokenFilter,
  type HttpFilter,
} from "./filters.ts";
import type { HttpRoute } from "./http_server.ts";
import { createJsonResponse } from "./request_context.ts";

/** Maximum size of a change, in bytes; a whole sheet is submitted as one change. */
const MAX_CHANGE_BYTES = 8 * 1024 * 1024;

/** Rollout status of a change. */
export interface ChangeReport {
  /** Version of the accepted change; absent while a key withdrawal is not merged yet. */
  version?: number;
  /** Data centres in which every instance has applied the change. */
  inForce: string[];
  /** Data centres with an instance that has not confirmed the change yet. */
  pending: string[];
}

/** Readiness of the instance, with the reasons if it is not ready. */
export interface Readiness {
  ready: boolean;
  reasons: string[];
}

/** Options of `createOperatorRoutes`. */
export interface OperatorRoutesOptions {
  /** SHA-256 of the operator token in hexadecimal; default: no token required. */
  tokenHash?: string;
  /** Submits a change and waits a short time for its rollout. */
  submitChange: (change: unknown) => Promise<ChangeReport>;
  getState: () => FleetState;
  /** Returns the status of this instance and what it knows about the others. */
  getStatus: () => Promise<unknown>;
  renderMetrics: () => Promise<string>;
  /** Returns the burn report of all reachable instances. */
  getBurn: () => Promise<unknown>;
  getReadiness: () => Readiness;
}

const changeSchema = z.looseObject({
  changeId: z.string().min(1).max(128),
  operations: z.array(z.unknown()).min(1),
});

/** Configuration as shown to operators. */
export interface RenderedConfig {
  version: number;
  dataCentres: readonly string[];
  /** Data centres where nothing new starts. */
  evacuatedDataCentres: readonly string[];
  workspaces: Workspace[];
  queues: Queue[];
  /** Active keys, with the hashes used in sheets; the secret cannot be derived from its hash. */
  keys: Key[];
}

/** Converts the fleet state to the configuration shown to operators. */
export function renderConfig(state: FleetState): RenderedConfig {
  return {
    version: state.version,
    dataCentres: state.dataCentres,
    evacuatedDataCentres: state.evacuatedDataCentres,
    workspaces: [...state.workspaces.values()],
    queues: [...state.queues.values()],
    keys: [...state.keys.values()],
  };
}

/** Creates the operator routes. */
export function createOperatorRoutes(
  options: OperatorRoutesOptions,
): HttpRoute[] {
  const authenticate = createOperatorTokenFilter(options.tokenHash);

  const submit: HttpFilter = async (context) => {
    const input = parseJson(context.body);
    const change = parseWithSchema(changeSchema, input, "the change");
    context.logFields["changeId"] = change.changeId;
    const report = await options.submitChange(change);
    const status = report.version === undefined ? 202 : 200;
    context.answer = createJsonResponse(report, status);
  };

  const getConfig: HttpFilter = async (context) => {
    context.answer = createJsonResponse(renderConfig(options.getState()));
    await Promise.resolve();
  };

  const getStatus: HttpFilter = async (context) => {
    context.answer = createJsonResponse(await options.getStatus());
  };

  const getMetrics: HttpFilter = async (context) => {
    context.answer = {
      status: 200,
      headers: { "content-type": "text/plain; version=0.0.4; charset=utf-8" },
      body: await options.renderMetrics(),
    };
  };

  const getBurn: HttpFilter = async (context) => {
    context.answer = createJsonResponse(await options.getBurn());
  };

  const getHealth: HttpFilter = async (context) => {
    context.answer = createJsonResponse({ healthy: true });
    await Promise.resolve();
  };

  const getReadiness: HttpFilter = async (context) => {
    const readiness = options.getReadiness();
    context.answer = createJsonResponse(readiness, readiness.ready ? 200 : 503);
    await Promise.resolve();
  };

  return [
    {
      method: "POST",
      path: "/v1/changes",
      filters: [authenticate, createBodyFilter(MAX_CHANGE_BYTES), submit],
    },
    { method: "GET", path: "/v1/config", filters: [authenticate, getConfig] },
    { method: "GET", path: "/v1/status", filters: [authenticate, getStatus] },
    { method: "GET", path: "/v1/burn", filters: [authenticate, getBurn] },
    { method: "GET", path: "/metrics", filters: [authenticate, getMetrics] },
    { method: "GET", path: "/healthz", filters: [getHealth] },
    { method: "GET", path: "/readyz", filters: [getReadiness] },
  ];
}
