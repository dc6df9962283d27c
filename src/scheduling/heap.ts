/** A binary heap with a custom comparison function. */

/** A priority queue; the first item is the lowest. */
export interface Heap<Item> {
  add(item: Item): void;
  getFirst(): Item | undefined;
  takeFirst(): Item | undefined;
  getSize(): number;
  /** Lists all items: the lowest first, the others in no particular order. */
  list(): readonly Item[];
}

/** Creates a heap that takes ownership of `items`; `compare` is negative if its first argument comes first. */
export function createHeap<Item>(
  compare: (a: Item, b: Item) => number,
  items: Item[] = [],
): Heap<Item> {
  for (let position = (items.length >> 1) - 1; position >= 0; position--) {
    updateDownwards(position);
  }

  function updateUpwards(start: number): void {
    const item = items[start]!;
    let position = start;
    while (position > 0) {
      const parent = (position - 1) >> 1;
      if (compare(item, items[parent]!) >= 0) break;
      items[position] = items[parent]!;
      position = parent;
    }
    items[position] = item;
  }

  function updateDownwards(start: number): void {
    const item = items[start]!;
    let position = start;
    while (true) {
      let child = 2 * position + 1;
      if (child >= items.length) break;
      const right = child + 1;
      if (right < items.length && compare(items[right]!, items[child]!) < 0) {
        child = right;
      }
      if (compare(items[child]!, item) >= 0) break;
      items[position] = items[child]!;
      position = child;
    }
    items[position] = item;
  }

  return {
    add(item) {
      items.push(item);
      updateUpwards(items.length - 1);
    },
    getFirst: () => items[0],
    takeFirst() {
      const first = items[0];
      const last = items.pop();
      if (items.length > 0 && last !== undefined) {
        items[0] = last;
        updateDownwards(0);
      }
      return first;
    },
    getSize: () => items.length,
    list: () => items,
  };
}
