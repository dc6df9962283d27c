/** TLS certificates for listeners, loaded from files and reloaded periodically. */

export * from "./certificate_files.ts";
