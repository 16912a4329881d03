/**
The number of replica groups.
*/

/** Must not change while records are within their retention, because a program's group depends on it. */
export const GROUP_COUNT = 32;
