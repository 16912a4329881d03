/**
The signals by which a supervisor or an operator controls a daemon.
*/

/** `SIGTERM` and `SIGINT` ask for a planned stop; `SIGHUP` says that the settings file has changed. */
export type ControlSignal = 'SIGTERM' | 'SIGINT' | 'SIGHUP';
