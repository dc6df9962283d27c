/**
 * gRPC services between instances. The definitions are loaded from the proto file
 * at run time, which avoids generated code in the repository.
 */

import { fileURLToPath } from "node:url";
import { loadPackageDefinition, type ServiceDefinition } from "@grpc/grpc-js";
import { loadSync } from "@grpc/proto-loader";

const PROTO_PATH = fileURLToPath(
  new URL("../../../proto/goldcrestlug.proto", import.meta.url),
);

/** Names of the services. */
export const SERVICE_NAMES = Object.freeze(
  ["Consensus", "Fleet", "Work", "Membership", "Gateway"] as const,
);

/** Name of a service. */
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

/** Service definitions by name. */
export const SERVICES: Readonly<Record<ServiceName, ServiceDefinition>> = Object
  .freeze(loadServices());
