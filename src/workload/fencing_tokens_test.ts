import t from "tap";
import { createFencingTokens } from "./fencing_tokens.ts";

t.test("fencing tokens rise within a term and with each term", (t) => {
  const tokens = createFencingTokens();
  const sequence = [3, 3, 3, 4, 4].map((term) => tokens.create(term));
  t.strictSame(sequence, [...new Set(sequence)].sort((a, b) => a - b));
  const nextLeader = createFencingTokens();
  t.ok(nextLeader.create(5) > (sequence.at(-1) ?? 0));
  t.end();
});

// Guards against a leader whose orders are refused after it has lost and regained its
// lease, as it then starts again in the same term.
t.test("fencing tokens go on if a process leads again in the same term", (t) => {
  const tokens = createFencingTokens();
  const before = tokens.create(7);
  t.ok(tokens.create(7) > before);
  t.end();
});

t.test("fencing tokens stay exact numbers for millions of terms", (t) => {
  const tokens = createFencingTokens();
  const first = tokens.create(100_000_000);
  t.ok(Number.isSafeInteger(first));
  t.equal(tokens.create(100_000_000), first + 1);
  t.end();
});
