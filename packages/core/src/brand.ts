/**
Branded primitive types, so that an id of one kind is not taken for another.
*/

/** A primitive `Value` that carries the compile-time name `Name`. */
export type Brand<Value, Name extends string> = Value & {readonly __brand: Name};
