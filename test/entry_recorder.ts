/** A minimal entry instance that records announcements, for tests of the stubs. */

import { startJsonServer } from "./json_http.ts";
import type { JsonServer } from "./json_http.ts";

/** A running recorder. */
export interface EntryRecorder extends JsonServer {
  /** Announcements in the order of arrival. */
  // deno-lint-ignore no-explicit-any -- tests compare single fields
  readonly seen: any[];
  /** Sets how the next announcements are answered. */
  setReply(reply: unknown, status?: number): void;
}

/** Starts a recorder on loopback. */
export async function startEntryRecorder(): Promise<EntryRecorder> {
  const seen: unknown[] = [];
  let answer: { status: number; body: unknown } = { status: 200, body: {} };
  const server = await startJsonServer(0, (_request, text) => {
    seen.push(JSON.parse(text));
    return answer;
  });
  return {
    ...server,
    seen,
    setReply: (body, status = 200) => void (answer = { status, body }),
  };
}
