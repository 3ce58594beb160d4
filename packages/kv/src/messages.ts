import {z} from 'zod';

const hashSchema = z.string().regex(/^[0-9a-f]{16,64}$/v);

/** Manifest of a piece in a store. A piece becomes visible with its manifest; data without one can't be looked up. */
export const pieceManifestSchema = z.object({
	hash: hashSchema,
	/** Hash of the prompt's first piece. */
	root: hashSchema,
	/** Changes each time that the store writes or frees the piece. */
	generation: z.number().int().nonnegative(),
	/** In bytes. */
	length: z.number().int().nonnegative(),
	/** SHA-256 of the bytes, in hexadecimal. */
	digest: z.string().regex(/^[0-9a-f]{64}$/v),
});

export type PieceManifest = z.infer<typeof pieceManifestSchema>;

/** Response of a store to a look-up or to the manifests of an export: the pieces that are visible. */
export const manifestsResponseSchema = z.object({pieces: z.array(pieceManifestSchema)});

/** A piece as an engine read it from a store. */
export const receivedPieceSchema = pieceManifestSchema.omit({root: true});

export type ReceivedPiece = z.infer<typeof receivedPieceSchema>;

/** Response of an engine to an import: the pieces that it read and staged; it uses them only once a request names them as verified. */
export const importResponseSchema = z.object({pieces: z.array(receivedPieceSchema)});

/** Response of an engine to an export: the pieces that it wrote, none of which is visible yet. */
export const exportResponseSchema = z.object({
	pieces: z.array(pieceManifestSchema),
	/** Whether the store had no room for the remaining pieces. */
	isFull: z.boolean().default(false),
});

const cacheEventSchema = z.object({
	sequence: z.number().int().positive(),
	hash: hashSchema,
	root: hashSchema,
	isHeld: z.boolean(),
});

export type CacheEvent = z.infer<typeof cacheEventSchema>;

/** Response of an engine or a store to `GET /v1/cache-events?after=N`. */
export const cacheEventsSchema = z.object({
	/** Sequence number of the latest event; starts again at 1 when the upstream restarts. */
	latestSequence: z.number().int().nonnegative(),
	events: z.array(cacheEventSchema),
});

export type CacheEvents = z.infer<typeof cacheEventsSchema>;

/** Response of an engine or a store to `GET /v1/cache-snapshot`: all pieces held at a sequence number. */
export const cacheSnapshotSchema = z.object({
	sequence: z.number().int().nonnegative(),
	pieces: z.array(z.object({hash: hashSchema, root: hashSchema})),
});

export type CacheSnapshot = z.infer<typeof cacheSnapshotSchema>;
