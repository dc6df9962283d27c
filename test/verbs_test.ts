import { readdir, readFile } from "node:fs/promises";
import { fileURLToPath } from "node:url";
import t from "tap";
import ts from "typescript";

const ROOT = fileURLToPath(new URL("../../", import.meta.url));

async function readVerbs(): Promise<Set<string>> {
  const page = await readFile(`${ROOT}docs/verbs.md`, "utf8");
  const verbs = [...page.matchAll(/^\| `([a-z]+)` \|/gm)].map(([, verb = ""]) =>
    verb
  );
  return new Set(verbs);
}

function listFunctionNames(path: string, text: string): string[] {
  const names: string[] = [];
  const file = ts.createSourceFile(path, text, ts.ScriptTarget.ES2022);
  const visit = (node: ts.Node) => {
    const isNamed = ts.isFunctionDeclaration(node) && node.name !== undefined;
    if (isNamed) names.push(node.name?.text ?? "");
    ts.forEachChild(node, visit);
  };
  visit(file);
  return names;
}

function getFirstWord(name: string): string {
  return /^[a-z]+/.exec(name)?.[0] ?? "";
}

// Guards against two words for one action, which readers take for two actions.
t.test("function names begin with a listed verb", async (t) => {
  const verbs = await readVerbs();
  const paths: string[] = [];
  for (const folder of ["src", "platform"]) {
    const entries = await readdir(`${ROOT}${folder}`, { recursive: true });
    paths.push(
      ...entries.filter((path) => path.endsWith(".ts"))
        .map((path) => `${folder}/${path}`),
    );
  }
  t.ok(paths.length > 0);
  const others: string[] = [];
  for (const path of paths.sort()) {
    const text = await readFile(`${ROOT}${path}`, "utf8");
    for (const name of listFunctionNames(path, text)) {
      const isListed = verbs.has(getFirstWord(name));
      if (!isListed) others.push(`${path}: ${name}`);
    }
  }
  t.strictSame(others, []);
});

// Guards against a check that passes because it finds no function.
t.test("nested functions are found, and parts of words are not verbs", (t) => {
  const text = "export function getA() { function settleB() {} }";
  const names = listFunctionNames("sample.ts", text);
  t.strictSame(names, ["getA", "settleB"]);
  t.strictSame(names.map(getFirstWord), ["get", "settle"]);
  t.end();
});
