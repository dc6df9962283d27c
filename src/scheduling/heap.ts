/** A binary heap, ordered by a comparison that is passed in. */

/** A priority queue whose first item compares lowest. */
export interface Heap<Item> {
  add(item: Item): void;
  getFirst(): Item | undefined;
  takeFirst(): Item | undefined;
  getSize(): number;
  /** All items, the first one first and the others in no order. */
  list(): readonly Item[];
}

/** Creates an empty heap; `compare` is negative when its first argument comes first. */
export function createHeap<Item>(
  compare: (a: Item, b: Item) => number,
): Heap<Item> {
  const items: Item[] = [];

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

  function updateDownwards(): void {
    const item = items[0]!;
    let position = 0;
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
        updateDownwards();
      }
      return first;
    },
    getSize: () => items.length,
    list: () => items,
  };
}
