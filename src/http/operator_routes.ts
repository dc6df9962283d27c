/** Routes of operators: changes, configuration, status, metrics and health. */

import { z } from "zod";
import { parseWith } from "../data_centre/announcements.ts";
import type { FleetState, Key, Queue, Workspace } from "../fleet/types.ts";
import { parseJson } from "./body.ts";
import {
  createBodyFilter,
  createOperatorTokenFilter,
  type HttpFilter,
} from "./filters.ts";
import type { HttpRoute } from "./http_server.ts";
import { createJsonResponse } from "./request_context.ts";

/** Largest change in bytes; a sheet is one change. */
const MAX_CHANGE_BYTES = 8 * 1024 * 1024;

/** How far a change has spread. */
export interface ChangeReport {
  /** Version of the accepted change; absent while a withdrawal waits to be merged. */
  version?: number;
  /** Data centres of which every instance has the change in force. */
  inForce: string[];
  /** Data centres with an instance that has not confirmed it yet. */
  pending: string[];
}

/** Whether the instance can serve, and why not. */
export interface Readiness {
  ready: boolean;
  reasons: string[];
}

/** Options of the routes. */
export interface OperatorRoutesOptions {
  tokenHash?: string;
  /** Hands in a change and waits a moment for it to spread. */
  submitChange: (change: unknown) => Promise<ChangeReport>;
  getState: () => FleetState;
  /** State of this instance and of what it can see of the others. */
  getStatus: () => Promise<unknown>;
  renderMetrics: () => Promise<string>;
  /** Service-level counts of all instances that can be reached. */
  getBurn: () => Promise<unknown>;
  getReadiness: () => Readiness;
}

const changeSchema = z.looseObject({
  changeId: z.string().min(1).max(128),
  operations: z.array(z.unknown()).min(1),
});

/** The configuration as operators see it. */
export interface RenderedConfig {
  version: number;
  dataCentres: readonly string[];
  workspaces: Workspace[];
  queues: Queue[];
  /** Keys in force, with the hashes that a sheet names; a secret cannot be told from its hash. */
  keys: Key[];
}

/** Renders the configuration for operators. */
export function renderConfig(state: FleetState): RenderedConfig {
  return {
    version: state.version,
    dataCentres: state.dataCentres,
    workspaces: [...state.workspaces.values()],
    queues: [...state.queues.values()],
    keys: [...state.keys.values()],
  };
}

/** Creates the routes. */
export function createOperatorRoutes(
  options: OperatorRoutesOptions,
): HttpRoute[] {
  const authenticate = createOperatorTokenFilter(options.tokenHash);

  const submit: HttpFilter = async (context) => {
    const input = parseJson(context.body);
    const change = parseWith(changeSchema, input, "the change");
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

  const getReady: HttpFilter = async (context) => {
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
    { method: "GET", path: "/readyz", filters: [getReady] },
  ];
}
