/**
 * Transfers faults over gRPC. A status code does not indicate whether the work has
 * run, so the whole fault is sent in a binary metadata entry.
 */

import { Buffer } from "node:buffer";
import { Metadata, type ServiceError, status } from "@grpc/grpc-js";
import {
  createFault,
  type Fault,
  FAULT_ANSWERS,
  isFaultKind,
  toFault,
} from "../common/mod.ts";

const FAULT_KEY = "goldcrestlug-fault-bin";

/** Encodes an error as a gRPC service error with the fault in its metadata. */
export function encodeFault(error: unknown): Partial<ServiceError> {
  const fault = toFault(error);
  const metadata = new Metadata();
  const { kind, message, ran, details } = fault;
  metadata.set(
    FAULT_KEY,
    Buffer.from(JSON.stringify({ kind, message, ran, details })),
  );
  return { code: FAULT_ANSWERS[kind].rpcStatus, details: message, metadata };
}

/**
 * Decodes a gRPC error from instance `target`. An error without a fault in its
 * metadata means that no reply arrived: the fault is `unavailable` if the call was
 * never sent, otherwise `outcomeUnknown`.
 */
export function decodeFault(error: ServiceError, target: string): Fault {
  const entry = error.metadata?.get(FAULT_KEY)[0];
  if (entry !== undefined) {
    const sent = JSON.parse(entry.toString());
    if (isFaultKind(sent.kind)) {
      return createFault(sent.kind, sent.message, {
        ran: sent.ran,
        details: sent.details,
      });
    }
  }
  const isNotSent = error.code === status.UNAVAILABLE &&
    /No connection established|ECONNREFUSED/.test(error.details ?? "");
  const kind = isNotSent ? "unavailable" : "outcomeUnknown";
  return createFault(kind, `Cannot get a reply from instance "${target}"`, {
    cause: error,
  });
}
