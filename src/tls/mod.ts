/** Certificates of the listeners, read from files and reloaded. */

export * from "./certificate_files.ts";
