/** Sends the periodic announcements of a stub to entry instances. */

import { callJson } from "./json_http.ts";

/** Settings of an announcer. */
export interface AnnouncerOptions {
  /** Base addresses of entry instances; the next one is tried when one fails. */
  readonly entries: readonly string[];
  readonly path: string;
  readonly periodMs: number;
  /** Builds the announcement right before it is sent. */
  readonly build: () => unknown;
  /** Called with the reply to an accepted announcement and its monotonic send time in milliseconds. */
  readonly onReply?: (reply: unknown, sentAtMs: number) => void;
}

/** Sends announcements until stopped. */
export interface Announcer {
  /** Announces now; resolves to whether an entry instance accepted it. */
  announce(): Promise<boolean>;
  /** Numbers of accepted and failed announcements. */
  getCounts(): { accepted: number; failed: number };
  stop(): void;
}

/** Starts the periodic announcements; the first one is sent immediately. */
export function startAnnouncer(options: AnnouncerOptions): Announcer {
  const { entries, periodMs } = options;
  let nextEntry = 0;
  let accepted = 0;
  let failed = 0;
  let isStopped = false;

  async function sendTo(entry: string): Promise<boolean> {
    const sentAtMs = performance.now();
    try {
      const { status, body } = await callJson(`${entry}${options.path}`, {
        body: options.build(),
        timeoutMs: Math.max(100, periodMs * 0.8),
      });
      if (status !== 200 || isStopped) return false;
      options.onReply?.(body, sentAtMs);
      return true;
    } catch {
      return false;
    }
  }

  async function announce(): Promise<boolean> {
    for (const _ of entries) {
      const entry = entries[nextEntry % entries.length] ?? "";
      if (await sendTo(entry)) {
        accepted++;
        return true;
      }
      nextEntry++;
    }
    failed++;
    return false;
  }

  const timer = setInterval(() => void announce(), periodMs);
  void announce();
  return {
    announce,
    getCounts: () => ({ accepted, failed }),
    stop() {
      isStopped = true;
      clearInterval(timer);
    },
  };
}
