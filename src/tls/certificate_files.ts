/**
 * Certificates and keys in PEM files. The files are read again at intervals,
 * and a new set is used only when it is whole: a certificate is usually
 * replaced one file at a time, so the former set stays in use until the key
 * fits the certificate.
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

/** Contents of the files, in PEM. */
export interface Certificate {
  readonly cert: Buffer;
  readonly key: Buffer;
  /** Certificates of the authorities whose peers are accepted. */
  readonly ca?: Buffer;
}

/** Certificate files that are read again at intervals. */
export interface CertificateFiles {
  /** Returns the last set that was accepted. */
  getCertificate(): Certificate;
  /** Calls `listener` with each later set; returns a function that ends this. */
  watchCertificate(listener: (certificate: Certificate) => void): () => void;
  /** Ends the reading. */
  close(): void;
}

/** Options of certificate files. */
export interface CertificateFilesOptions {
  /** Name of the setting that holds the paths, such as `tls.http`. */
  setting: string;
  files: TlsFiles;
  /** Time between looks at the files, in milliseconds. */
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
    const reason = "the file holds no certificate in PEM";
    throw createFileFault(options, name, reason, error);
  }
}

function parseKey(options: CertificateFilesOptions, pem: Buffer): KeyObject {
  try {
    return createPrivateKey(pem);
  } catch (error) {
    const reason = "the file holds no private key in PEM";
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
      `it is not the key of ${options.setting}.certFile "${options.files.certFile}"`;
    throw createFileFault(options, "keyFile", reason);
  }
  try {
    createSecureContext(certificate);
  } catch (error) {
    throw createFileFault(options, "certFile", "TLS refuses it", error);
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
  const others = join(b);
  return join(a).every((part, index) => part.equals(others[index] as Buffer));
}

/**
 * Reads the files and goes on to read them every `reloadMs`. Rejects with a
 * `badRequest` fault that names the setting and the file when one cannot be
 * read or the key does not fit the certificate.
 */
export async function openCertificateFiles(
  options: CertificateFilesOptions,
): Promise<CertificateFiles> {
  const { setting, clock, logger } = options;
  const listeners = new Set<(certificate: Certificate) => void>();
  let current = await readCertificate(options);
  let lastRefusal = "";
  let isClosed = false;
  let timer: Timer;

  function setCertificate(found: Certificate): void {
    lastRefusal = "";
    if (isClosed || isSameCertificate(found, current)) return;
    current = found;
    for (const listener of listeners) listener(found);
    const { validTo, fingerprint256 } = new X509Certificate(found.cert);
    logger.info("Certificate reloaded", { setting, validTo, fingerprint256 });
  }

  async function updateCertificate(): Promise<void> {
    try {
      setCertificate(await readCertificate(options));
    } catch (error) {
      // One line for each cause, or a wrong file would fill the log.
      const refusal = String(error);
      if (refusal !== lastRefusal) {
        logger.warn("Former certificate stays in use", { setting, error });
      }
      lastRefusal = refusal;
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
