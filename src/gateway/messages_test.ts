import { Buffer } from "node:buffer";
import t from "tap";
import { encodeFrame, handleFrame } from "./messages.ts";

function handle(data: Uint8Array) {
  const received: unknown[] = [];
  const errors: unknown[] = [];
  handleFrame<{ kind: string }>({ data }, {
    receive(message) {
      if (message.kind === "bad") throw new Error("Cannot handle it");
      received.push(message.kind);
    },
    handleError: (error) => errors.push(error),
  });
  return { received, errors: errors.length };
}

t.test("a bad message leaves the others of its frame in force", (t) => {
  const text = '[{"kind":"a"},null,{"kind":"bad"},7,{"kind":"b"}]';
  const { received, errors } = handle(Buffer.from(text));
  t.strictSame(received.filter((kind) => kind !== undefined), ["a", "b"]);
  t.equal(errors, 2);
  t.end();
});

t.test("a frame that is no list is reported", (t) => {
  for (const text of ["", "{", "{}", "7", "null", '"x"']) {
    t.strictSame(handle(Buffer.from(text)), { received: [], errors: 1 }, text);
  }
  const { data } = encodeFrame([{ kind: "invite" }]);
  t.strictSame(handle(data), { received: ["invite"], errors: 0 });
  t.end();
});
