import { access, readdir, readFile } from "node:fs/promises";
import t from "tap";
import { FAULT_ANSWERS } from "../src/common/mod.ts";
import { createAnnounceRoutes } from "../src/http/announce_routes.ts";
import { createExplainRoutes } from "../src/http/explain_routes.ts";
import { createJobRoutes } from "../src/http/job_routes.ts";
import { createOperatorRoutes } from "../src/http/operator_routes.ts";
import { createRequestRoutes } from "../src/http/request_routes.ts";
import { DEFAULT_OBJECTIVES, METRIC_DEFINITIONS } from "../src/report/mod.ts";

const ROOT = new URL("../../", import.meta.url);

async function readTable(page: string): Promise<string[][]> {
  const text = await readFile(new URL(page, ROOT), "utf8");
  return text.split("\n")
    .filter((line) => line.startsWith("| `"))
    .map((line) =>
      line.split("|").slice(1, -1).map((cell) =>
        cell.trim().replaceAll("`", "")
      )
    );
}

// Guards against an errors page whose statuses or run outcomes differ from the program's.
t.test("the errors page agrees with the table of answers", async (t) => {
  const rows = await readTable("docs/errors.md");
  const expected = Object.entries(FAULT_ANSWERS).map(([kind, answer]) => [
    kind,
    String(answer.httpStatus),
    String(answer.rpcStatus),
    answer.ran,
  ]);
  t.strictSame(rows.map((cells) => cells.slice(0, 4)), expected);
  t.ok(rows.every((cells) => cells.length === 6 && cells[5] !== ""));
});

// Guards against a path that is served but not described, or described but not served.
t.test("the HTTP page names every route", async (t) => {
  // The options are read only on a request, and none is sent here.
  const options = {} as never;
  const routes = [
    ...createRequestRoutes(options),
    ...createJobRoutes(options),
    ...createExplainRoutes(options),
    ...createAnnounceRoutes(options),
    ...createOperatorRoutes(options),
  ];
  const served = routes.map(({ method, path }) => `${method} ${path}`);
  const rows = await readTable("docs/http.md");
  const described = rows.map(([first = ""]) => first)
    .filter((cell) => /^(GET|POST|PUT|DELETE) /.test(cell));
  t.strictSame(described.sort(), served.sort());
});

/** Returns whether a test file contains a test of this name. */
async function hasTest(file: string, name: string): Promise<boolean> {
  const text = await readFile(new URL(file, ROOT), "utf8");
  return /_test\.ts$/.test(file) &&
    [...text.matchAll(/\.test\(\s*"([^"]+)"/g)].some(([, own]) => own === name);
}

// Guards against an invariant whose listed test does not exist, and against empty cells.
t.test("each test that the page of faults names exists", async (t) => {
  const text = await readFile(new URL("docs/faults.md", ROOT), "utf8");
  const rows = text.split("\n").filter((line) => line.startsWith("| "))
    .map((line) => line.split("|").slice(1, -1).map((cell) => cell.trim()));
  const codes = new Set<string>();
  for (const [code = "", test = ""] of rows.filter((row) => row.length === 2)) {
    if (!/^[A-Z]+\d+$/.test(code)) continue;
    codes.add(code);
    const [, file, name] = /^`([^`]+)`: (.+)$/.exec(test) ?? [];
    if (code.startsWith("N")) t.not(test, "", code);
    else t.ok(await hasTest(file ?? "", name ?? ""), `${code}: ${test}`);
  }
  const failures = rows.filter((row) => row.length === 11).slice(1)
    .filter(([failure]) => !failure?.startsWith("---"));
  t.equal(failures.length, 15, "each failure has a row");
  const used = new Set<string>();
  for (const [failure, ...cells] of failures) {
    for (const cell of cells) {
      const named = cell.split(" ");
      named.forEach((code) => used.add(code));
      t.ok(named.every((code) => codes.has(code)), `${failure}: "${cell}"`);
    }
  }
  t.strictSame(
    [...codes].filter((code) => !used.has(code)),
    [],
    "no unused code",
  );
});

// Guards against objectives and metrics that the page describes wrongly.
t.test("the report page names objectives and metrics", async (t) => {
  const rows = await readTable("docs/burn_report.md");
  const objectives = rows.filter(([name = ""]) =>
    Object.hasOwn(DEFAULT_OBJECTIVES, name)
  );
  const expectedObjectives = Object.entries(DEFAULT_OBJECTIVES);
  t.strictSame(
    objectives.map(([name, , , target]) => [name, target]),
    expectedObjectives.map((
      [name, { target }],
    ) => [name, `${Number((target * 100).toFixed(3))} %`]),
  );
  const metrics = rows.filter(([, kind = ""]) =>
    ["counter", "gauge", "duration"].includes(kind)
  );
  t.strictSame(
    metrics,
    Object.entries(METRIC_DEFINITIONS).map(([name, definition]) => [
      name,
      definition.kind,
      definition.labels.join(", "),
      definition.help,
    ]),
  );
});

function listLinks(text: string): string[] {
  const links = [...text.matchAll(/\]\(([^)#\s]+)/g)];
  return links.map(([, link = ""]) => link)
    .filter((link) => !/^[a-z]+:/.test(link));
}

// Guards against links to moved pages, and pages that are missing from the index.
t.test("links between pages resolve", async (t) => {
  const names = (await readdir(new URL("docs/", ROOT)))
    .filter((name) => name.endsWith(".md"));
  const pages = ["README.md", ...names.map((name) => `docs/${name}`)];
  for (const page of pages) {
    const url = new URL(page, ROOT);
    for (const link of listLinks(await readFile(url, "utf8"))) {
      await t.resolves(access(new URL(link, url)), `${page}: ${link}`);
    }
  }
  const index = listLinks(
    await readFile(new URL("docs/README.md", ROOT), "utf8"),
  );
  const listed = names.filter((name) => name !== "README.md").sort();
  t.strictSame([...index].sort(), listed, "the index names every page");
});
