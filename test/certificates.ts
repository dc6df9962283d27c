/** Creates certificates for tests at run time and writes them to files. */

import { writeFile } from "node:fs/promises";
import { join } from "node:path";
import { generate } from "selfsigned";

/** A certificate and its key in PEM. */
export interface TestCertificate {
  readonly cert: string;
  readonly key: string;
}

/** Creates a certificate authority. */
export async function createAuthority(name: string): Promise<TestCertificate> {
  const generated = await generate([{ name: "commonName", value: name }], {
    keyType: "ec",
    algorithm: "sha256",
    extensions: [
      { name: "basicConstraints", cA: true, critical: true },
      { name: "keyUsage", keyCertSign: true, critical: true },
    ],
  });
  return { cert: generated.cert, key: generated.private };
}

/** Creates a certificate for an IP address, valid for servers and clients. */
export async function createCertificate(
  ca: TestCertificate,
  ip = "127.0.0.1",
): Promise<TestCertificate> {
  const generated = await generate(
    [{ name: "commonName", value: "instance" }],
    {
      keyType: "ec",
      algorithm: "sha256",
      ca: { key: ca.key, cert: ca.cert },
      extensions: [
        { name: "basicConstraints", cA: false },
        { name: "keyUsage", digitalSignature: true },
        { name: "extKeyUsage", serverAuth: true, clientAuth: true },
        { name: "subjectAltName", altNames: [{ type: 7, ip }] },
      ],
    },
  );
  return { cert: generated.cert, key: generated.private };
}

/** Paths of the files of a certificate. */
export interface TestFiles {
  readonly certFile: string;
  readonly keyFile: string;
}

/** Writes `NAME.crt` and `NAME.key` into a folder, replacing existing files. */
export async function saveCertificate(
  folder: string,
  name: string,
  certificate: TestCertificate,
): Promise<TestFiles> {
  const certFile = join(folder, `${name}.crt`);
  const keyFile = join(folder, `${name}.key`);
  await writeFile(certFile, certificate.cert);
  await writeFile(keyFile, certificate.key);
  return { certFile, keyFile };
}
