/**
 * The gRPC services between instances, loaded from the proto file at run time,
 * so that no generated code has to be kept.
 */

import { fileURLToPath } from "node:url";
import { loadPackageDefinition, type ServiceDefinition } from "@grpc/grpc-js";
import { loadSync } from "@grpc/proto-loader";

const PROTO_PATH = fileURLToPath(
  new URL("../../../proto/goldcrestlug.proto", import.meta.url),
);

/** The names of the services. */
export const SERVICE_NAMES = Object.freeze(
  ["Consensus", "Fleet", "Work", "Membership", "Gateway"] as const,
);

/** The name of a service. */
export type ServiceName = (typeof SERVICE_NAMES)[number];

function loadServices(): Record<ServiceName, ServiceDefinition> {
  const loaded = loadPackageDefinition(loadSync(PROTO_PATH, {
    longs: Number,
    defaults: true,
    oneofs: true,
  }));
  const root = loaded["goldcrestlug"] as unknown as Record<
    ServiceName,
    { service: ServiceDefinition }
  >;
  const services = {} as Record<ServiceName, ServiceDefinition>;
  for (const name of SERVICE_NAMES) services[name] = root[name].service;
  return services;
}

/** The definition of each service. */
export const SERVICES: Readonly<Record<ServiceName, ServiceDefinition>> = Object
  .freeze(loadServices());
