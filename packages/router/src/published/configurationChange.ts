/**
 * Changes between two configurations. Operators publish whole files, but most updates touch only a few records. So
 * boxes relay just the changed records, together with both versions and a digest by which the receiver checks that it
 * ends up with the same records.
 */
import { isDeepStrictEqual } from 'node:util';
import { Err, Ok } from '@hazelwalk/core';
import type { Result } from '@hazelwalk/core';
import type { CallerLimits, FleetConfiguration, Route, Service, Team } from '../records.js';

/** Changed records of one kind, identified by name. */
export interface RecordChanges<T> {
  /** New records, and those that replace one of the same name. */
  readonly written: readonly T[];
  readonly removed: readonly string[];
}

/** Change from one version of the configuration to another. */
export interface ConfigurationChange {
  /** Version that it applies to. */
  readonly from: number;
  /** Version that results from it. */
  readonly version: number;
  /** Digest of the resulting configuration. */
  readonly digest: number;
  readonly routes: RecordChanges<Route>;
  readonly services: RecordChanges<Service>;
  /** Undefined if the newer configuration has no teams. */
  readonly teams: RecordChanges<Team> | undefined;
  readonly limits: CallerLimits;
}

/** Why a change cannot be applied. */
export type ChangeFailure =
  /** It applies to a version that the box never had, or no longer keeps. */
  | 'otherVersion'
  /** It results in other records than its sender has. */
  | 'otherDigest';

interface NamedRecord {
  readonly name: string;
}

/**
 * Digest and size of records. Records are immutable, so each one is serialized once. All boxes set the fields of a
 * record in the order of its type, whether they decode it from the platform or from a peer, so that equal records
 * have equal text.
 */
export class ConfigurationDigest {
  private readonly byRecord = new WeakMap<object, { readonly hash: number; readonly chars: number }>();

  constructor(private readonly hash: (text: string) => number) {}

  /**
   * Digest of a configuration; the order of its records does not matter.
   *
   * @example digest.compute(configuration) === digest.compute(readAgain) // true
   */
  compute(configuration: FleetConfiguration): number {
    const own = this.hash(JSON.stringify([configuration.version, configuration.limits]));
    // Addition of 32-bit numbers does not depend on the order.
    return this.listDigests(configuration).reduce((sum, { hash }) => (sum + hash) >>> 0, own);
  }

  /** Characters in a configuration's records, as an estimate of its size when sent. */
  countChars(configuration: FleetConfiguration): number {
    return this.listDigests(configuration).reduce((sum, { chars }) => sum + chars, 0);
  }

  private listDigests(
    configuration: FleetConfiguration,
  ): { readonly hash: number; readonly chars: number }[] {
    const { routes, services, teams } = configuration;
    return [...routes, ...services, ...(teams ?? [])].map((record) => this.digestRecord(record));
  }

  private digestRecord(record: object): { readonly hash: number; readonly chars: number } {
    const known = this.byRecord.get(record);
    if (known !== undefined) return known;
    const text = JSON.stringify(record);
    const digest = { hash: this.hash(text), chars: text.length };
    this.byRecord.set(record, digest);
    return digest;
  }
}

/**
 * Computes the change from one configuration to a newer one.
 *
 * @example diffConfigurations(digest, before, after).routes.removed // ['route-7']
 */
export function diffConfigurations(
  digest: ConfigurationDigest,
  before: FleetConfiguration,
  after: FleetConfiguration,
): ConfigurationChange {
  return {
    from: before.version,
    version: after.version,
    digest: digest.compute(after),
    routes: diffRecords(before.routes, after.routes),
    services: diffRecords(before.services, after.services),
    teams: after.teams === undefined ? undefined : diffRecords(before.teams ?? [], after.teams),
    limits: after.limits,
  };
}

/** Returns the configuration that results from a change, or why the change does not apply. */
export function applyConfigurationChange(
  digest: ConfigurationDigest,
  before: FleetConfiguration,
  change: ConfigurationChange,
): Result<FleetConfiguration, ChangeFailure> {
  if (before.version !== change.from) return Err('otherVersion');
  const after: FleetConfiguration = {
    version: change.version,
    routes: applyRecords(before.routes, change.routes),
    services: applyRecords(before.services, change.services),
    teams: change.teams === undefined ? undefined : applyRecords(before.teams ?? [], change.teams),
    limits: change.limits,
  };
  return digest.compute(after) === change.digest ? Ok(after) : Err('otherDigest');
}

/** Unchanged records are usually the same object, which makes comparing a thousand of them cheap. */
function isSameRecord(a: NamedRecord, b: NamedRecord): boolean {
  return a === b || isDeepStrictEqual(a, b);
}

function diffRecords<T extends NamedRecord>(before: readonly T[], after: readonly T[]): RecordChanges<T> {
  const known = new Map(before.map((record) => [record.name, record]));
  const kept = new Set(after.map((record) => record.name));
  return {
    written: after.filter((record) => {
      const old = known.get(record.name);
      return old === undefined || !isSameRecord(old, record);
    }),
    removed: before.filter((record) => !kept.has(record.name)).map((record) => record.name),
  };
}

function applyRecords<T extends NamedRecord>(before: readonly T[], changes: RecordChanges<T>): T[] {
  const byName = new Map(before.map((record) => [record.name, record]));
  for (const name of changes.removed) byName.delete(name);
  for (const record of changes.written) byName.set(record.name, record);
  return [...byName.values()];
}

/**
 * Replaces the records of a configuration that equal those of an earlier one by the earlier objects. Each record is
 * then stored once, and comparing the two configurations takes one look-up per record.
 */
export function shareRecords(before: FleetConfiguration, after: FleetConfiguration): FleetConfiguration {
  return {
    ...after,
    routes: shareList(before.routes, after.routes),
    services: shareList(before.services, after.services),
    teams: after.teams === undefined ? undefined : shareList(before.teams ?? [], after.teams),
  };
}

function shareList<T extends NamedRecord>(before: readonly T[], after: readonly T[]): T[] {
  const known = new Map(before.map((record) => [record.name, record]));
  return after.map((record) => {
    const old = known.get(record.name);
    return old !== undefined && isSameRecord(old, record) ? old : record;
  });
}
