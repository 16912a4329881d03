/**
The control signals of this process, taken over when this module is loaded. A
daemon imports it before all else, since a signal that nobody handles ends the
process, also while the rest of its code is being loaded.
*/
import type {SignalWatch} from './signal-watch.js';
import {watchProcessSignals} from './watch-process-signals.js';

export const earlySignals: SignalWatch = watchProcessSignals();
