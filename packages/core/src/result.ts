/**
 * The result type for expected failures.
 *
 * `ts-results` is published as CommonJS only: its exports are behind `default` when it is imported from an ES module,
 * but not from CommonJS. This module handles both cases for all importers.
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
