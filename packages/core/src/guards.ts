/** Tells whether a value that came from outside is what a handler takes. */
export type Guard<Value> = (value: unknown) => value is Value;

/** The type that a guard lets through. */
export type Guarded<Check> = Check extends Guard<infer Value> ? Value : never;

/** Numbers that are counts, ages in ms, revisions or sequence numbers: whole, not negative, and exact. */
export const isCount: Guard<number> = (value): value is number => Number.isSafeInteger(value) && (value as number) >= 0;

/** Finite numbers of any sign, within what sums of them stay exact for. */
export const isFiniteNumber: Guard<number> = (value): value is number => typeof value === 'number' && Math.abs(value) <= Number.MAX_SAFE_INTEGER;

export const isFlag: Guard<boolean> = (value): value is boolean => typeof value === 'boolean';

/** Takes anything, where another package checks it before use. */
export const isAnything: Guard<unknown> = (value): value is unknown => true;

/**
Creates a guard of texts up to a length.

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

/** Creates a guard of finite numbers in a range, bounds included. */
export function isNumberIn(least: number, most: number): Guard<number> {
	return (value): value is number => typeof value === 'number' && value >= least && value <= most;
}

/**
Creates a guard of lists up to a length.

@example
```
isListOf(isCount, 2)([1, 2, 3]); //=> false
```
*/
export function isListOf<Value>(isItem: Guard<Value>, maxLength: number): Guard<readonly Value[]> {
	return (value): value is readonly Value[] => Array.isArray(value) && value.length <= maxLength && value.every(item => isItem(item));
}

/** Creates a guard of lists with one guard for each place. */
export function isTupleOf<const Checks extends ReadonlyArray<Guard<unknown>>>(...checks: Checks): Guard<{readonly [Place in keyof Checks]: Guarded<Checks[Place]>}> {
	return (value): value is {readonly [Place in keyof Checks]: Guarded<Checks[Place]>} => Array.isArray(value)
		&& value.length === checks.length && checks.every((check, place) => check(value[place]));
}

/** Creates a guard of the values of an enum, or of a list of values. */
export function isOneOf<const Value extends string | number | boolean>(values: readonly Value[]): Guard<Value> {
	const known = new Set<unknown>(values);

	return (value): value is Value => known.has(value);
}

/** Creates a guard that lets an absent value through too. */
export function isOptional<Value>(check: Guard<Value>): Guard<Value | undefined> {
	return (value): value is Value | undefined => value === undefined || check(value);
}

type Fields = Readonly<Record<string, Guard<unknown>>>;
type OptionalNames<Checks extends Fields> = {[Name in keyof Checks]: undefined extends Guarded<Checks[Name]> ? (unknown extends Guarded<Checks[Name]> ? never : Name) : never}[keyof Checks];
type RecordOf<Checks extends Fields> = {readonly [Name in Exclude<keyof Checks, OptionalNames<Checks>>]: Guarded<Checks[Name]>}
	& {readonly [Name in OptionalNames<Checks>]?: Guarded<Checks[Name]>};

/**
Creates a guard of objects by a guard for each field. Fields that it does not name are let through: a newer version may have more.

@example
```
const isCard = isRecordOf({name: isTextUpTo(200), revision: isCount});
isCard({name: 'core-1', revision: -1}); //=> false
```
*/
export function isRecordOf<const Checks extends Fields>(checks: Checks): Guard<RecordOf<Checks>> {
	const entries = Object.entries(checks);

	return (value): value is RecordOf<Checks> => typeof value === 'object' && value !== null && !Array.isArray(value)
		&& entries.every(([name, check]) => check((value as Readonly<Record<string, unknown>>)[name]));
}

/** Creates a guard of values that one of several guards lets through. */
export function isAnyOf<const Checks extends ReadonlyArray<Guard<unknown>>>(...checks: Checks): Guard<Guarded<Checks[number]>> {
	return (value): value is Guarded<Checks[number]> => checks.some(check => check(value));
}
