/** Suggests corrections for misspelt names. */

/** Computes the Levenshtein distance between two names. */
function computeEditDistance(a: string, b: string): number {
  let previous = Array.from({ length: b.length + 1 }, (_, column) => column);
  for (let row = 1; row <= a.length; row++) {
    const current = [row];
    for (let column = 1; column <= b.length; column++) {
      const isSame = a[row - 1] === b[column - 1];
      const replaced = (previous[column - 1] ?? 0) + (isSame ? 0 : 1);
      const removed = (previous[column] ?? 0) + 1;
      const added = (current[column - 1] ?? 0) + 1;
      current.push(Math.min(replaced, removed, added));
    }
    previous = current;
  }
  return previous[b.length] ?? 0;
}

/** Finds the known name with the smallest edit distance from `name`; case is ignored. */
export function findNearestName(
  name: string,
  known: readonly string[],
): string | undefined {
  let nearest: string | undefined;
  let fewest = Infinity;
  for (const candidate of known) {
    const edits = computeEditDistance(
      name.toLowerCase(),
      candidate.toLowerCase(),
    );
    if (edits >= fewest) continue;
    nearest = candidate;
    fewest = edits;
  }
  return nearest;
}
