/**
Lists all replica groups.
*/
import {GROUP_COUNT} from './group-count.js';
import type {GroupId} from './group-id.js';

const GROUPS: readonly GroupId[] = Array.from({length: GROUP_COUNT}, (_, index) => index + 1 as GroupId);

export const listGroups = (): readonly GroupId[] => GROUPS;
