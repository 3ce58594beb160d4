/** Type guard for untrusted input, such as a message from another process. */
export type TypeGuard<Value> = (value: unknown) => value is Value;

/** The type that a guard narrows to. */
export type GuardedType<Check> = Check extends TypeGuard<infer Value> ? Value : never;

/** Accepts non-negative safe integers: counts, ages in milliseconds, revisions and sequence numbers. */
export const isNonNegativeInteger: TypeGuard<number> = (value): value is number => Number.isSafeInteger(value) && (value as number) >= 0;

/** Accepts finite numbers, also negative and fractional ones, with a magnitude of at most `Number.MAX_SAFE_INTEGER`; sums of larger ones lose precision. */
export const isFiniteNumber: TypeGuard<number> = (value): value is number => typeof value === 'number' && Math.abs(value) <= Number.MAX_SAFE_INTEGER;

export const isBoolean: TypeGuard<boolean> = (value): value is boolean => typeof value === 'boolean';

/** Accepts any value; for fields that another package validates before use. */
export const isUnknown: TypeGuard<unknown> = (value): value is unknown => true;

/**
Creates a guard for strings of at most `maxLength` UTF-16 code units.

@example
```
const isName = isStringUpTo(200);
isName('core-1'); //=> true
isName(7); //=> false
```
*/
export function isStringUpTo(maxLength: number): TypeGuard<string> {
	return (value): value is string => typeof value === 'string' && value.length <= maxLength;
}

/** Creates a guard for finite numbers from `least` to `most`, both included. */
export function isNumberInRange(least: number, most: number): TypeGuard<number> {
	return (value): value is number => typeof value === 'number' && value >= least && value <= most;
}

/**
Creates a guard for arrays of at most `maxLength` items.

@example
```
isArrayOf(isNonNegativeInteger, 2)([1, 2, 3]); //=> false
```
*/
export function isArrayOf<Value>(isItem: TypeGuard<Value>, maxLength: number): TypeGuard<readonly Value[]> {
	return (value): value is readonly Value[] => Array.isArray(value) && value.length <= maxLength && value.every(item => isItem(item));
}

/** Creates a guard for tuples, with one guard per element. */
export function isTupleOf<const Checks extends ReadonlyArray<TypeGuard<unknown>>>(...checks: Checks): TypeGuard<{readonly [Index in keyof Checks]: GuardedType<Checks[Index]>}> {
	return (value): value is {readonly [Index in keyof Checks]: GuardedType<Checks[Index]>} => Array.isArray(value)
		&& value.length === checks.length && checks.every((check, index) => check(value[index]));
}

/** Creates a guard for one of the given values, such as the values of an enum. */
export function isOneOf<const Value extends string | number | boolean>(values: readonly Value[]): TypeGuard<Value> {
	const known = new Set<unknown>(values);

	return (value): value is Value => known.has(value);
}

/** Creates a guard that also accepts `undefined`. */
export function isOptional<Value>(check: TypeGuard<Value>): TypeGuard<Value | undefined> {
	return (value): value is Value | undefined => value === undefined || check(value);
}

type FieldGuards = Readonly<Record<string, TypeGuard<unknown>>>;
type OptionalFieldNames<Checks extends FieldGuards> = {
	[Name in keyof Checks]: undefined extends GuardedType<Checks[Name]> ? (unknown extends GuardedType<Checks[Name]> ? never : Name) : never
}[keyof Checks];
type ObjectWith<Checks extends FieldGuards> = {readonly [Name in Exclude<keyof Checks, OptionalFieldNames<Checks>>]: GuardedType<Checks[Name]>}
	& {readonly [Name in OptionalFieldNames<Checks>]?: GuardedType<Checks[Name]>};

/**
Creates a guard for objects, with one guard per field. Other fields are accepted, since a newer version of the sender may have more.

@example
```
const isMember = isObjectWith({name: isStringUpTo(200), revision: isNonNegativeInteger});
isMember({name: 'core-1', revision: -1}); //=> false
```
*/
export function isObjectWith<const Checks extends FieldGuards>(checks: Checks): TypeGuard<ObjectWith<Checks>> {
	const entries = Object.entries(checks);

	return (value): value is ObjectWith<Checks> => typeof value === 'object' && value !== null && !Array.isArray(value)
		&& entries.every(([name, check]) => check((value as Readonly<Record<string, unknown>>)[name]));
}

/** Creates a guard for a union: a value that at least one of the guards accepts. */
export function isAnyOf<const Checks extends ReadonlyArray<TypeGuard<unknown>>>(...checks: Checks): TypeGuard<GuardedType<Checks[number]>> {
	return (value): value is GuardedType<Checks[number]> => checks.some(check => check(value));
}
