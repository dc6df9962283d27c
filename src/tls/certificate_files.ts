/**
 * Loads certificates and keys from PEM files and reloads them periodically. A
 * new set replaces the current one only if it is consistent. Files are usually
 * replaced one at a time, so the current set stays in use until the new key
 * matches the new certificate.
 */

import { Buffer } from "node:buffer";
import { createPrivateKey, type KeyObject, X509Certificate } from "node:crypto";
import { readFile } from "node:fs/promises";
import { createSecureContext } from "node:tls";
import {
  type Clock,
  createFault,
  type Logger,
  type Timer,
} from "../common/mod.ts";
import type { TlsFiles } from "../settings/settings.ts";

/** A certificate with its key, in PEM. */
export interface Certificate {
  readonly cert: Buffer;
  readonly key: Buffer;
  /** CA certificates that peers are verified against. */
  readonly ca?: Buffer;
}

/** Certificate files that are reloaded periodically. */
export interface CertificateFiles {
  /** Returns the last valid set. */
  getCertificate(): Certificate;
  /** Calls `listener` with each new set; returns a function that unsubscribes it. */
  watchCertificate(listener: (certificate: Certificate) => void): () => void;
  /** Stops reloading the files. */
  close(): void;
}

/** Options of certificate files. */
export interface CertificateFilesOptions {
  /** Name of the setting that contains the paths, such as `tls.http`. */
  setting: string;
  files: TlsFiles;
  /** Interval between reloads, in milliseconds. */
  reloadMs: number;
  clock: Clock;
  logger: Logger;
}

type FileSetting = "certFile" | "keyFile" | "caFile";

function createFileFault(
  options: CertificateFilesOptions,
  name: FileSetting,
  reason: string,
  cause?: unknown,
): Error {
  const path = options.files[name];
  return createFault(
    "badRequest",
    `Cannot use ${options.setting}.${name} "${path}": ${reason}`,
    cause === undefined ? {} : { cause },
  );
}

async function readSettingFile(
  options: CertificateFilesOptions,
  name: FileSetting,
): Promise<Buffer> {
  try {
    return await readFile(options.files[name] ?? "");
  } catch (error) {
    throw createFileFault(options, name, "the file cannot be read", error);
  }
}

function parseCertificate(
  options: CertificateFilesOptions,
  name: FileSetting,
  pem: Buffer,
): X509Certificate {
  try {
    return new X509Certificate(pem);
  } catch (error) {
    const reason = "the file contains no PEM certificate";
    throw createFileFault(options, name, reason, error);
  }
}

function parseKey(options: CertificateFilesOptions, pem: Buffer): KeyObject {
  try {
    return createPrivateKey(pem);
  } catch (error) {
    const reason = "the file contains no PEM private key";
    throw createFileFault(options, "keyFile", reason, error);
  }
}

function checkCertificate(
  options: CertificateFilesOptions,
  certificate: Certificate,
): void {
  const parsed = parseCertificate(options, "certFile", certificate.cert);
  const key = parseKey(options, certificate.key);
  if (certificate.ca !== undefined) {
    parseCertificate(options, "caFile", certificate.ca);
  }
  if (!parsed.checkPrivateKey(key)) {
    const reason =
      `it does not match ${options.setting}.certFile "${options.files.certFile}"`;
    throw createFileFault(options, "keyFile", reason);
  }
  try {
    createSecureContext(certificate);
  } catch (error) {
    throw createFileFault(
      options,
      "certFile",
      "it is rejected by the TLS library",
      error,
    );
  }
}

async function readCertificate(
  options: CertificateFilesOptions,
): Promise<Certificate> {
  const certificate: Certificate = {
    cert: await readSettingFile(options, "certFile"),
    key: await readSettingFile(options, "keyFile"),
    ...(options.files.caFile === undefined
      ? {}
      : { ca: await readSettingFile(options, "caFile") }),
  };
  checkCertificate(options, certificate);
  return certificate;
}

function isSameCertificate(a: Certificate, b: Certificate): boolean {
  const join = (
    { cert, key, ca }: Certificate,
  ) => [cert, key, ca ?? Buffer.alloc(0)];
  const otherParts = join(b);
  return join(a).every((part, index) =>
    part.equals(otherParts[index] as Buffer)
  );
}

/**
 * Loads the files and reloads them every `reloadMs`. Rejects with a
 * `badRequest` fault that names the setting and the file if a file cannot be
 * read or is invalid, or if the key does not match the certificate.
 */
export async function openCertificateFiles(
  options: CertificateFilesOptions,
): Promise<CertificateFiles> {
  const { setting, clock, logger } = options;
  const listeners = new Set<(certificate: Certificate) => void>();
  let current = await readCertificate(options);
  let lastError = "";
  let isClosed = false;
  let timer: Timer;

  function setCertificate(loaded: Certificate): void {
    lastError = "";
    if (isClosed || isSameCertificate(loaded, current)) return;
    current = loaded;
    for (const listener of listeners) listener(loaded);
    const { validTo, fingerprint256 } = new X509Certificate(loaded.cert);
    logger.info("Certificate reloaded", { setting, validTo, fingerprint256 });
  }

  async function updateCertificate(): Promise<void> {
    try {
      setCertificate(await readCertificate(options));
    } catch (error) {
      // Logs a repeated error once; otherwise an invalid file would flood the log.
      const message = String(error);
      if (message !== lastError) {
        logger.warn("Former certificate stays in use", { setting, error });
      }
      lastError = message;
    }
    if (!isClosed) startTimer();
  }

  function startTimer(): void {
    timer = clock.setTimer(options.reloadMs, () => void updateCertificate());
  }

  startTimer();
  return {
    getCertificate: () => current,
    watchCertificate(listener) {
      listeners.add(listener);
      return () => listeners.delete(listener);
    },
    close() {
      isClosed = true;
      timer.cancel();
    },
  };
}
