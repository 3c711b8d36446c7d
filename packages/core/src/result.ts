/**
 * The result type used for every expected failure.
 *
 * `ts-results` ships CommonJS only: ESM importers find it behind `default`, CommonJS ones do not. Both come through
 * here, once.
 */
import * as imported from 'ts-results';
import type { Result as TsResult } from 'ts-results';

const library: typeof imported = 'default' in imported ? (imported.default as typeof imported) : imported;

/** Wraps a success. */
export const Ok = library.Ok;
/** Wraps an expected failure. */
export const Err = library.Err;
/** Either a value or a typed failure. */
export type Result<T, E> = TsResult<T, E>;
