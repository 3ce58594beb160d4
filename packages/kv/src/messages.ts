import {z} from 'zod';

const hashSchema = z.string().regex(/^[0-9a-f]{16,64}$/v);

/** What makes a piece visible in a store: data without a manifest is not there. */
export const pieceManifestSchema = z.object({
	hash: hashSchema,
	/** Identity of the prompt's first piece. */
	root: hashSchema,
	/** Changes each time the store writes or frees the piece. */
	generation: z.number().int().nonnegative(),
	/** Bytes. */
	length: z.number().int().nonnegative(),
	/** SHA-256 of the bytes, in hexadecimal. */
	digest: z.string().regex(/^[0-9a-f]{64}$/v),
});

export type PieceManifest = z.infer<typeof pieceManifestSchema>;

/** Answer of a store to a look-up or to manifests: the pieces that are visible. */
export const manifestsSchema = z.object({pieces: z.array(pieceManifestSchema)});

/** One piece as an engine read it from a store, after its last byte. */
export const receivedPieceSchema = pieceManifestSchema.omit({root: true});

export type ReceivedPiece = z.infer<typeof receivedPieceSchema>;

/** Answer of an engine to an import: what it read and holds apart, unused until it is told that it may. */
export const importedSchema = z.object({pieces: z.array(receivedPieceSchema)});

/** Answer of an engine to an export: the pieces that are written, none visible yet. */
export const exportedSchema = z.object({
	pieces: z.array(pieceManifestSchema),
	/** The store had no room for the rest. */
	isFull: z.boolean().default(false),
});

const cacheEventSchema = z.object({
	sequence: z.number().int().positive(),
	hash: hashSchema,
	root: hashSchema,
	isHeld: z.boolean(),
});

export type CacheEvent = z.infer<typeof cacheEventSchema>;

/** Answer of an engine or a store to `GET /v1/cache-events?after=N`. */
export const cacheEventsSchema = z.object({
	/** Of the latest event; an upstream that started anew begins at 1 again. */
	latestSequence: z.number().int().nonnegative(),
	events: z.array(cacheEventSchema),
});

export type CacheEvents = z.infer<typeof cacheEventsSchema>;

/** Answer to `GET /v1/cache-snapshot`: all pieces held at a sequence number. */
export const cacheSnapshotSchema = z.object({
	sequence: z.number().int().nonnegative(),
	pieces: z.array(z.object({hash: hashSchema, root: hashSchema})),
});

export type CacheSnapshot = z.infer<typeof cacheSnapshotSchema>;
