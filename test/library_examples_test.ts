/** Runs each example of docs/library.md and compares its output with its comments. */

import { execFile } from "node:child_process";
import { mkdir, readFile, writeFile } from "node:fs/promises";
import { join } from "node:path";
import process from "node:process";
import { fileURLToPath } from "node:url";
import t from "tap";
import ts from "typescript";

const ROOT = fileURLToPath(new URL("../../", import.meta.url));
// Inside the package, so that the package's own name resolves to its exports.
const FOLDER = join(ROOT, "dist", "library_examples");

interface Example {
  title: string;
  code: string;
  expected: string[];
}

// The timeout of the file must not be shorter than that of its test.
t.setTimeout(240_000);

async function readExamples(): Promise<Example[]> {
  const page = await readFile(join(ROOT, "docs", "library.md"), "utf8");
  const pattern = /## (.+)\n[^#]*?```ts\n([\s\S]*?)```/g;
  return [...page.matchAll(pattern)].map(([, title = "", code = ""]) => ({
    title,
    code,
    expected: [...code.matchAll(/\/\/ prints (.+)$/gm)].map(([, line = ""]) =>
      line
    ),
  }));
}

async function runExample(example: Example, name: string): Promise<string[]> {
  const { outputText } = ts.transpileModule(example.code, {
    compilerOptions: {
      target: ts.ScriptTarget.ES2022,
      module: ts.ModuleKind.ESNext,
    },
  });
  const path = join(FOLDER, `${name}.js`);
  await writeFile(path, outputText);
  return await new Promise((resolve, reject) => {
    execFile(process.execPath, [path], (error, stdout) => {
      if (error !== null) reject(error);
      else resolve(stdout.trim().split("\n"));
    });
  });
}

// Guards against examples that no longer print what the page states.
t.test(
  "the examples of the library page run",
  { timeout: 120_000 },
  async (t) => {
    await mkdir(FOLDER, { recursive: true });
    const examples = await readExamples();
    t.equal(examples.length, 8);
    for (const [index, example] of examples.entries()) {
      const printed = await runExample(example, `example_${index}`);
      t.strictSame(printed, example.expected, example.title);
    }
  },
);
