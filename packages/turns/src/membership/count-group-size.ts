/**
Calculates the size of a replica group.
*/

/** With so many members, a majority survives the loss of `losses` disks. */
export const countGroupSize = (losses: number): number => (losses * 2) + 1;
