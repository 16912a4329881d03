/**
Picks one of several items at random.
*/
import type {Random} from '@siskinhub/core/decide/random.js';

/** `items` must not be empty. */
export const pick = <Item>(random: Random, items: readonly Item[]): Item => items[Math.floor(random() * items.length)]!;
