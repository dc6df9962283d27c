import t from "tap";
import fc from "fast-check";
import { isFault } from "../common/mod.ts";
import { createFleetState } from "./fleet_state.ts";
import { encodeCommand } from "./schema.ts";
import { parseSheet } from "./sheet.ts";
import { planSheet } from "./sheet_plan.ts";
import type { FleetChange } from "./types.ts";

const SEED = 20_261_204;
const HASH = "ab".repeat(32);
const HEADER =
  "kind;name;action;share;slots;processors;memoryMb;accelerators;workspace;hash;open;policy";

// An export as spreadsheets write it: byte order mark, semicolons, quotes,
// decimal commas, empty rows, trailing columns and CR LF.
const EXPORT = "\uFEFF" + [
  HEADER.replace("memoryMb", '"Memory MB"') + ";;",
  'workspace;"kochi-laces";;1,5;8;2,25;4096;0;;;;;;',
  ";;;;;;;;;;;;;",
  "",
  "Workspace;thrissur.cords;set;2;4;0,5;1024,0;1;;;;",
  `key;k-1;grant;;;;;;kochi-laces;${HASH};;;;`,
  "queue;orders;;;;;;;;;no;requests",
  "queue;retail;;;;;;;;;YES;requests;;",
].join("\r\n") + "\r\n";

const cases: [string, string, string][] = [
  ["empty file", "", 'row 1, column "kind": "" is missing in the header'],
  [
    "no header",
    "workspace;a;set",
    'row 1, column "a": "a" is not one of kind',
  ],
  [
    "unknown column",
    "kind,name,colour\nworkspace,a,red",
    'row 1, column "colour": "colour" is not one of kind',
  ],
  [
    "column twice",
    "kind,name,memoryMb,Memory_MB",
    'row 1, column "Memory_MB": "Memory_MB" appears twice',
  ],
  [
    "open quote",
    'kind;name\nworkspace;"a',
    "unclosed quote",
  ],
  [
    "stray quote",
    'kind;name\nworkspace;a"b"',
    "unclosed quote, or quote inside",
  ],
  [
    "value past the header",
    "kind;name\nworkspace;a;;7",
    'row 2, column "4": "7" is in a column without a header',
  ],
  [
    "unknown kind",
    "kind;name\n\nworkspaces;a",
    'row 3, column "kind": "workspaces" is',
  ],
  [
    "no name",
    "kind;name;slots\nworkspace;;4",
    'row 2, column "name": "" is empty',
  ],
  [
    "bad name",
    "kind;name\nworkspace;a/b",
    'row 2, column "name": "a/b" is not',
  ],
  [
    "row counted after empty rows",
    "kind;name;slots\r\nworkspace;a;1\r\n;;\r\n\r\nworkspace;b;-3",
    'row 5, column "slots": "-3" is not a non-negative integer',
  ],
  [
    "row counted after a line break in quotes",
    'kind;name;slots\nworkspace;"a\nb";1\nworkspace;c;x',
    'row 3, column "slots": "x" is not a non-negative integer',
  ],
  [
    "fraction of a slot",
    "kind;name;slots\nworkspace;a;1,5",
    '"1,5" is not a non-negative integer',
  ],
  [
    "thousands separator",
    "kind;name;memoryMb\nworkspace;a;4.096",
    '"4.096" is ambiguous and can mean a thousand times as much',
  ],
  [
    "thousands separator in cores",
    'kind,name,processors\nworkspace,a,"1,500"',
    '"1,500" is ambiguous and can mean a thousand times as much',
  ],
  [
    "two separators",
    "kind;name;processors\nworkspace;a;1.234,5",
    '"1.234,5" is not a number of cores',
  ],
  [
    "too fine",
    "kind;name;processors\nworkspace;a;0,0001",
    '"0,0001" is not a number of cores',
  ],
  [
    "share 0",
    "kind;name;share\nworkspace;a;0,0",
    '"0,0" is not a number above 0',
  ],
  ["exponent", "kind;name;slots\nworkspace;a;1E+05", '"1E+05" is not'],
  ["formula error", "kind;name;slots\nworkspace;a;#REF!", '"#REF!" is not'],
  [
    "too large",
    "kind;name;slots\nworkspace;a;9999999999999",
    "is more than 1000000000000",
  ],
  [
    "cell of another kind",
    "kind;name;slots\nqueue;a;4",
    'row 2, column "slots": "4" does not belong to a row of kind "queue"',
  ],
  [
    "key without action",
    "kind;name\nkey;k1",
    'row 2, column "action": "" is neither grant nor withdraw',
  ],
  [
    "grant without hash",
    "kind;name;action;workspace\nkey;k1;grant;a",
    'row 2, column "hash": "" is empty',
  ],
  [
    "secret instead of a hash",
    `kind;name;action;workspace;hash\nkey;k1;grant;a;gcl_k1_${"x".repeat(43)}`,
    'column "hash": "gcl_k1_***" is not a SHA-256 hash',
  ],
  [
    "name twice",
    "kind;name;slots\nworkspace;a;1\nworkspace;a;2",
    'row 3, column "name": "a" already appears in row 2',
  ],
  [
    "wrong character set",
    "kind;name\nworkspace;caf\uFFFD",
    'row 2, column "name": "caf\uFFFD" is not UTF-8 text',
  ],
  ["UTF-16", "k\0i\0n\0d\0", "the file is not UTF-8 text"],
  ["UTF-16 mark", "\uFFFD\uFFFDk\0", "the file is not UTF-8 text"],
];

// Guards against malformed exports that are accepted, or rejected without
// naming row and column.
t.test("problems of a sheet are reported with row and column", (t) => {
  for (const [name, text, expected] of cases) {
    try {
      parseSheet(text);
      t.fail(name);
    } catch (error) {
      t.ok(isFault(error, "badRequest"), name);
      const { message } = error as Error;
      t.ok(message.includes(expected), `${name}: ${message}`);
    }
  }
  t.end();
});

// Guards against rejecting exports in which a workspace is called a team.
t.test("team is an alias of workspace", (t) => {
  const rows = parseSheet(
    `Kind;Name;Action;Team;Hash\nTeam;a;remove;;\nkey;k1;grant;b;${HASH}`,
  );
  t.match(rows, [
    { kind: "workspace", name: "a" },
    { kind: "key", workspace: "b" },
  ]);
  t.throws(
    () => parseSheet("kind;name;team;workspace\nkey;k1;a;b"),
    { message: /appears twice/ },
  );
  t.end();
});

// Guards against valid spreadsheet exports that are rejected or misread.
t.test("an export in any spreadsheet dialect is parsed", (t) => {
  const rows = parseSheet(EXPORT);
  t.strictSame(rows[0], {
    row: 2,
    kind: "workspace",
    name: "kochi-laces",
    share: 1.5,
    slots: 8,
    processors: 2250,
    memoryMb: 4096,
    accelerators: 0,
    action: "set",
  });
  t.match(rows[1], { row: 5, name: "thrissur.cords", memoryMb: 1024 });
  t.equal(rows.length, 5);
  const variants = [
    EXPORT.replaceAll("\r\n", "\n"),
    EXPORT.replaceAll("\r\n", "\r"),
    EXPORT.replaceAll(";", "\t"),
    EXPORT.replaceAll(",", ".").replaceAll(";", ","),
    EXPORT.slice(1),
    EXPORT.replace("kind", '"kind"'),
  ];
  for (const text of variants) t.strictSame(parseSheet(text), rows);
  const declared = parseSheet("sep=;\r\n" + EXPORT.slice(1));
  t.strictSame(declared, rows.map((row) => ({ ...row, row: row.row + 1 })));
  t.end();
});

function createFleet() {
  const machine = createFleetState();
  const send = (change: FleetChange) =>
    machine.apply(encodeCommand({ at: 0, change }), 0);
  return { machine, send };
}

// Guards against a sheet that is applied twice or changes entries that it does
// not list, and against differences that are not reported.
t.test("a sheet becomes one change that is safe to retry", (t) => {
  const { machine, send } = createFleet();
  const rows = parseSheet(EXPORT);
  const plan = planSheet(machine.getState(), rows);
  t.equal(plan.lines.length, 5);
  const created =
    'workspace "kochi-laces": create with share 1.5, slots 8, processors 2.25, memoryMb 4096, accelerators 0';
  t.ok(plan.lines.includes(created));
  t.strictSame(planSheet(machine.getState(), rows).change, plan.change);
  const answer = send(plan.change!);
  t.match(answer, { accepted: true, version: 1 });
  t.equal(send(plan.change!), answer);
  t.strictSame(planSheet(machine.getState(), rows), { lines: [], notes: [] });

  const next = planSheet(
    machine.getState(),
    parseSheet(
      "kind,name,action,slots\nworkspace,kochi-laces,,9\nworkspace,thrissur.cords,remove,\n" +
        "key,k-1,withdraw,\nkey,k-2,withdraw,\nqueue,none,remove,",
    ),
  );
  t.strictSame(next.lines, [
    'workspace "kochi-laces": slots 8 → 9',
    'key "k-1" of workspace "kochi-laces": withdraw',
    'workspace "thrissur.cords": remove, withdraw its 0 keys',
  ]);
  t.equal(next.notes.length, 2);
  t.match(send(next.change!), { accepted: true, version: 2 });
  t.equal(machine.getState().workspaces.get("kochi-laces")?.share, 1.5);
  t.not(next.change?.changeId, plan.change?.changeId);
  t.end();
});

// Guards against rows that are invalid in the current state and detected only
// after the change is sent.
t.test("rows that conflict with the state are reported", (t) => {
  const { machine, send } = createFleet();
  send(planSheet(machine.getState(), parseSheet(EXPORT)).change!);
  const header = "kind;name;action;workspace;hash;slots;policy\n";
  const invalidRows: [string, string][] = [
    [
      "workspace;new;;;;4;",
      'row 2, column "share": "" is empty, and the workspace',
    ],
    ["queue;new;;;;;", 'row 2, column "policy": "" is empty, and the queue'],
    [
      `key;k-9;grant;none;${HASH};;`,
      'column "workspace": "none" is not a workspace',
    ],
    [
      `key;k-1;grant;kochi-laces;${"cd".repeat(32)};;`,
      'column "name": "k-1" is already a key of workspace "kochi-laces"',
    ],
    ["key;k-1;withdraw;thrissur.cords;;;", 'does not have the key "k-1"'],
    [
      `workspace;kochi-laces;remove;;;;\nkey;k-9;grant;kochi-laces;${HASH};;`,
      'row 3, column "workspace": "kochi-laces" is removed by this sheet',
    ],
  ];
  for (const [text, expected] of invalidRows) {
    try {
      planSheet(machine.getState(), parseSheet(header + text));
      t.fail(text);
    } catch (error) {
      t.ok(isFault(error, "badRequest"));
      t.ok((error as Error).message.includes(expected), expected);
    }
  }
  t.end();
});

// Guards against input that makes the parser throw an error other than a
// fault, and against plans that the fleet log rejects.
t.test("any text is parsed or rejected with a fault", (t) => {
  t.comment(`seed ${SEED}`);
  const cell = fc.oneof(
    fc.constantFrom(
      "",
      "workspace",
      "key",
      "queue",
      "a",
      "1,5",
      "8",
      '"',
      "set",
    ),
    fc.constantFrom("grant", "withdraw", HASH, "no", "batch", "\r\n", "\0"),
    fc.string(),
  );
  const text = fc.array(fc.array(cell, { maxLength: 14 }), { maxLength: 8 })
    .map((rows) => [HEADER, ...rows.map((row) => row.join(";"))].join("\n"));
  fc.assert(
    fc.property(text, (text) => {
      const { machine, send } = createFleet();
      try {
        const plan = planSheet(machine.getState(), parseSheet(text));
        if (plan.change === undefined) return true;
        return send(plan.change).accepted;
      } catch (error) {
        return isFault(error, "badRequest");
      }
    }),
    { seed: SEED, numRuns: 1_000 },
  );
  t.end();
});
