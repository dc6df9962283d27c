/**
 * Credentials for mutual TLS between instances. They follow the certificate
 * files: a new certificate is used for new connections, and open connections
 * keep the one they were made with.
 */

import process from "node:process";
import {
  type ChannelCredentials,
  experimental,
  type ServerCredentials,
} from "@grpc/grpc-js";
import type { Certificate, CertificateFiles } from "../tls/mod.ts";

/** Credentials of both sides of an instance. */
export interface RpcCredentials {
  server: ServerCredentials;
  channel: ChannelCredentials;
}

// The file watcher of grpc-js withdraws the credentials while a file is missing
// or does not match, so this one hands out only the sets that were accepted.
function createCertificateProvider(
  files: CertificateFiles,
): experimental.CertificateProvider {
  const ends = new Map<unknown, () => void>();

  function addListener<T>(
    listener: (update: T) => void,
    toUpdate: (certificate: Certificate) => T,
  ): void {
    const update = (certificate: Certificate) =>
      listener(toUpdate(certificate));
    ends.set(listener, files.watchCertificate(update));
    // As in grpc-js: the caller is not ready for an update during this call.
    process.nextTick(() => update(files.getCertificate()));
  }

  function removeListener(listener: unknown): void {
    ends.get(listener)?.();
    ends.delete(listener);
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
 * Creates credentials with which both sides present a certificate that an
 * authority of the `caFile` signed. The calling side also checks that the
 * certificate names the IP address that it called.
 */
export function createRpcCredentials(files: CertificateFiles): RpcCredentials {
  // One provider for both arguments, because grpc-js 1.14 takes them in another
  // order for servers than its types say.
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
