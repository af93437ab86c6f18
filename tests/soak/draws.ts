/** Chooses one of several items. */
export function choose<Item>(
  items: readonly Item[],
  random: () => number,
): Item {
  return items[Math.floor(random() * items.length)] as Item;
}

/** A time in ms between two bounds. */
export function draw(random: () => number, from: number, to: number): number {
  return from + random() * (to - from);
}
