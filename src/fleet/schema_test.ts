import { Buffer } from "node:buffer";
import t from "tap";
import { isFault } from "../common/mod.ts";
import { createKeySecret } from "./key_secret.ts";
import { decodeCommand, encodeCommand, parseChange } from "./schema.ts";

const limits = { slots: 1, processors: 2, memoryMb: 3, accelerators: 0 };
const workspace = { type: "createWorkspace", name: "a", share: 1, limits };
const { secret } = createKeySecret({ id: "k1" });

const cases: [string, unknown, string][] = [
  ["not an object", 7, "change: 7 is not of type object"],
  ["no operations", { changeId: "c" }, "operations: nothing is missing"],
  ["empty", { changeId: "c", operations: [] }, "operations: [] is empty"],
  [
    "unknown field",
    { changeId: "c", operations: [{ ...workspace, colour: "red" }] },
    'operations[0].colour: "red" is an unknown field',
  ],
  [
    "unknown field at the top",
    { changeId: "c", force: true, operations: [workspace] },
    "force: true is an unknown field",
  ],
  [
    "unknown operation",
    { changeId: "c", operations: [{ type: "dropWorkspace" }] },
    'operations[0].type: "dropWorkspace" is not the name of an operation',
  ],
  [
    "negative limit",
    {
      changeId: "c",
      operations: [workspace, {
        ...workspace,
        limits: { ...limits, slots: -3 },
      }],
    },
    "operations[1].limits.slots: -3 is not an integer from 0",
  ],
  [
    "fraction",
    {
      changeId: "c",
      operations: [{ ...workspace, limits: { ...limits, memoryMb: 1.5 } }],
    },
    "operations[0].limits.memoryMb: 1.5 is not an integer",
  ],
  [
    "missing limit",
    { changeId: "c", operations: [{ ...workspace, limits: {} }] },
    "operations[0].limits.slots: nothing is missing",
  ],
  [
    "share 0",
    { changeId: "c", operations: [{ ...workspace, share: 0 }] },
    "operations[0].share: 0 is not a number above 0",
  ],
  [
    "name with a slash",
    { changeId: "c", operations: [{ type: "removeWorkspace", name: "a/b" }] },
    'operations[0].name: "a/b" is not a name',
  ],
  [
    "negative version",
    { changeId: "c", expectedVersion: -1, operations: [workspace] },
    "expectedVersion: -1 is not a version",
  ],
  [
    "secret instead of a hash",
    {
      changeId: "c",
      operations: [{
        type: "grantKey",
        id: "k1",
        workspace: "a",
        hash: secret,
      }],
    },
    'operations[0].hash: "gcl_k1_***" is not a SHA-256 hash',
  ],
];

// Guards against malformed changes that are accepted, or rejected without the
// path and the reason.
t.test("each problem is reported with its path and value", (t) => {
  for (const [name, input, expected] of cases) {
    try {
      parseChange(input);
      t.fail(name);
    } catch (error) {
      t.ok(isFault(error, "badRequest"), name);
      t.match((error as Error).message, expected, name);
    }
  }
  t.end();
});

// Guards against a command that is decoded differently from what its proposer
// encoded, and against errors other than faults on malformed commands.
t.test("a command survives encoding and decoding", (t) => {
  const change = parseChange({ changeId: "c", operations: [workspace] });
  t.strictSame(decodeCommand(encodeCommand({ at: 5, change })), {
    at: 5,
    change,
  });
  for (const text of ["", "{", "null", '{"at":"x"}', '{"at":1}']) {
    try {
      decodeCommand(Buffer.from(text));
      t.fail(text);
    } catch (error) {
      t.ok(isFault(error, "badRequest"), text);
    }
  }
  t.end();
});
