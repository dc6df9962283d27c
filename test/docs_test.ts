import { access, readdir, readFile } from "node:fs/promises";
import t from "tap";
import { FAULT_ANSWERS } from "../src/common/mod.ts";

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

// Guards against callers who are told another status, or another claim about their work, than the program gives.
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

function listLinks(text: string): string[] {
  const links = [...text.matchAll(/\]\(([^)#\s]+)/g)];
  return links.map(([, link = ""]) => link)
    .filter((link) => !/^[a-z]+:/.test(link));
}

// Guards against links to pages that were moved, and pages that the index does not name.
t.test("links between pages lead somewhere", async (t) => {
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
