/**
 * Credentials for mutual TLS between instances. When the certificate files change,
 * new connections use the new certificate; open connections keep the one they were
 * established with.
 */

import process from "node:process";
import {
  type ChannelCredentials,
  experimental,
  type ServerCredentials,
} from "@grpc/grpc-js";
import type { Certificate, CertificateFiles } from "../tls/mod.ts";

/** Server and client credentials of an instance. */
export interface RpcCredentials {
  server: ServerCredentials;
  channel: ChannelCredentials;
}

// Replaces the file watcher of grpc-js, which withdraws the credentials while a file
// is missing or does not match. This provider passes on only validated certificates.
function createCertificateProvider(
  files: CertificateFiles,
): experimental.CertificateProvider {
  const unsubscribers = new Map<unknown, () => void>();

  function addListener<T>(
    listener: (update: T) => void,
    toUpdate: (certificate: Certificate) => T,
  ): void {
    const update = (certificate: Certificate) =>
      listener(toUpdate(certificate));
    unsubscribers.set(listener, files.watchCertificate(update));
    // Deferred, as in grpc-js: the caller is not ready for an update during this call.
    process.nextTick(() => update(files.getCertificate()));
  }

  function removeListener(listener: unknown): void {
    unsubscribers.get(listener)?.();
    unsubscribers.delete(listener);
  }

  return {
    addCaCertificateListener: (listener) =>
      addListener(
        listener,
        ({ ca }) => ca === undefined ? null : { caCertificate: ca },
      ),
    removeCaCertificateListener: removeListener,
    addIdentityCertificateListener: (listener) =>
      addListener(
        listener,
        ({ cert, key }) => ({ certificate: cert, privateKey: key }),
      ),
    removeIdentityCertificateListener: removeListener,
  };
}

/**
 * Creates credentials for mutual TLS. Both sides must present a certificate signed
 * by an authority in `caFile`. The client also checks that the server certificate
 * contains the IP address of the connection.
 */
export function createRpcCredentials(files: CertificateFiles): RpcCredentials {
  // Uses the same provider for both arguments, because for servers grpc-js 1.14
  // expects them in a different order than its types declare.
  const provider = createCertificateProvider(files);
  return {
    server: experimental.createCertificateProviderServerCredentials(
      provider,
      provider,
      true,
    ),
    channel: experimental.createCertificateProviderChannelCredentials(
      provider,
      provider,
    ),
  };
}
