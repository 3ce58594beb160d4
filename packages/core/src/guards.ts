/** Type guard for untrusted input, such as a message from another process. */
export type Guard<Value> = (value: unknown) => value is Value;

/** The type that a guard narrows to. */
export type GuardedType<Check> = Check extends Guard<infer Value> ? Value : never;

/** Accepts non-negative safe integers: counts, ages in milliseconds, revisions and sequence numbers. */
export const isCount: Guard<number> = (value): value is number => Number.isSafeInteger(value) && (value as number) >= 0;

/** Accepts finite numbers, also negative and fractional ones, with a magnitude of at most `Number.MAX_SAFE_INTEGER`; sums of larger ones lose precision. */
export const isFiniteNumber: Guard<number> = (value): value is number => typeof value === 'number' && Math.abs(value) <= Number.MAX_SAFE_INTEGER;

export const isFlag: Guard<boolean> = (value): value is boolean => typeof value === 'boolean';

/** Accepts any value; for fields that another package validates before use. */
export const isAnything: Guard<unknown> = (value): value is unknown => true;

/**
Creates a guard for strings of at most `maxLength` UTF-16 code units.

@example
```
const isName = isTextUpTo(200);
isName('core-1'); //=> true
isName(7); //=> false
```
*/
export function isTextUpTo(maxLength: number): Guard<string> {
	return (value): value is string => typeof value === 'string' && value.length <= maxLength;
}

/** Creates a guard for finite numbers from `least` to `most`, both included. */
export function isNumberIn(least: number, most: number): Guard<number> {
	return (value): value is number => typeof value === 'number' && value >= least && value <= most;
}

/**
Creates a guard for arrays of at most `maxLength` items.

@example
```
isListOf(isCount, 2)([1, 2, 3]); //=> false
```
*/
export function isListOf<Value>(isItem: Guard<Value>, maxLength: number): Guard<readonly Value[]> {
	return (value): value is readonly Value[] => Array.isArray(value) && value.length <= maxLength && value.every(item => isItem(item));
}

/** Creates a guard for tuples, with one guard per element. */
export function isTupleOf<const Checks extends ReadonlyArray<Guard<unknown>>>(...checks: Checks): Guard<{readonly [Index in keyof Checks]: GuardedType<Checks[Index]>}> {
	return (value): value is {readonly [Index in keyof Checks]: GuardedType<Checks[Index]>} => Array.isArray(value)
		&& value.length === checks.length && checks.every((check, index) => check(value[index]));
}

/** Creates a guard for one of the given values, such as the values of an enum. */
export function isOneOf<const Value extends string | number | boolean>(values: readonly Value[]): Guard<Value> {
	const known = new Set<unknown>(values);

	return (value): value is Value => known.has(value);
}

/** Creates a guard that also accepts `undefined`. */
export function isOptional<Value>(check: Guard<Value>): Guard<Value | undefined> {
	return (value): value is Value | undefined => value === undefined || check(value);
}

type FieldGuards = Readonly<Record<string, Guard<unknown>>>;
type OptionalFieldNames<Checks extends FieldGuards> = {
	[Name in keyof Checks]: undefined extends GuardedType<Checks[Name]> ? (unknown extends GuardedType<Checks[Name]> ? never : Name) : never
}[keyof Checks];
type ObjectWith<Checks extends FieldGuards> = {readonly [Name in Exclude<keyof Checks, OptionalFieldNames<Checks>>]: GuardedType<Checks[Name]>}
	& {readonly [Name in OptionalFieldNames<Checks>]?: GuardedType<Checks[Name]>};

/**
Creates a guard for objects, with one guard per field. Other fields are accepted, since a newer version of the sender may have more.

@example
```
const isCard = isRecordOf({name: isTextUpTo(200), revision: isCount});
isCard({name: 'core-1', revision: -1}); //=> false
```
*/
export function isRecordOf<const Checks extends FieldGuards>(checks: Checks): Guard<ObjectWith<Checks>> {
	const entries = Object.entries(checks);

	return (value): value is ObjectWith<Checks> => typeof value === 'object' && value !== null && !Array.isArray(value)
		&& entries.every(([name, check]) => check((value as Readonly<Record<string, unknown>>)[name]));
}

/** Creates a guard for a union: a value that at least one of the guards accepts. */
export function isAnyOf<const Checks extends ReadonlyArray<Guard<unknown>>>(...checks: Checks): Guard<GuardedType<Checks[number]>> {
	return (value): value is GuardedType<Checks[number]> => checks.some(check => check(value));
}
