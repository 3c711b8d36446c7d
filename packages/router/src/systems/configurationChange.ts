/**
 * The difference between two configurations. Operators publish whole files, but most changes touch a few records: boxes
 * pass on what changed, name both versions, and check by a digest that they arrived at the same records.
 */
import { isDeepStrictEqual } from 'node:util';
import { Err, Ok } from '@hazelwalk/core';
import type { Result } from '@hazelwalk/core';
import type { CallerLimits, FleetConfiguration, Route, Service, Team } from '../records.js';

/** Records of one kind that differ, by name. */
export interface RecordChanges<T> {
  /** New records, and those that replace one of the same name. */
  readonly written: readonly T[];
  readonly removed: readonly string[];
}

/** What leads from one version of the configuration to another. */
export interface ConfigurationChange {
  /** Version that it applies to. */
  readonly from: number;
  /** Version that it leads to. */
  readonly version: number;
  /** Digest of the configuration that it leads to. */
  readonly digest: number;
  readonly routes: RecordChanges<Route>;
  readonly services: RecordChanges<Service>;
  /** Undefined where the newer configuration has no teams. */
  readonly teams: RecordChanges<Team> | undefined;
  readonly limits: CallerLimits;
}

/** Why a change cannot be used. */
export type ChangeFailure =
  /** It begins at a version that the box never had, or no longer keeps. */
  | 'otherVersion'
  /** It leads to other records than its sender has. */
  | 'otherDigest';

interface NamedRecord {
  readonly name: string;
}

/**
 * Digest and size of records. Records never change, so each is read once. All boxes set the fields of a record in one order,
 * that of its type, whether they decode what the platform published or what a peer told: the same record is the same text.
 */
export class ConfigurationDigest {
  private readonly byRecord = new WeakMap<object, { readonly hash: number; readonly chars: number }>();

  constructor(private readonly hash: (text: string) => number) {}

  /**
   * Digest of a configuration's records; their order does not count.
   *
   * @example digest.read(configuration) === digest.read(readAgain) // true
   */
  compute(configuration: FleetConfiguration): number {
    const own = this.hash(JSON.stringify([configuration.version, configuration.limits]));
    // Addition of 32-bit numbers does not depend on the order.
    return this.list(configuration).reduce((sum, { hash }) => (sum + hash) >>> 0, own);
  }

  /** Characters of a configuration's records, as a measure of what it takes to send them. */
  countChars(configuration: FleetConfiguration): number {
    return this.list(configuration).reduce((sum, { chars }) => sum + chars, 0);
  }

  private list(configuration: FleetConfiguration): { readonly hash: number; readonly chars: number }[] {
    const { routes, services, teams } = configuration;
    return [...routes, ...services, ...(teams ?? [])].map((record) => this.inspect(record));
  }

  private inspect(record: object): { readonly hash: number; readonly chars: number } {
    const known = this.byRecord.get(record);
    if (known !== undefined) return known;
    const text = JSON.stringify(record);
    const read = { hash: this.hash(text), chars: text.length };
    this.byRecord.set(record, read);
    return read;
  }
}

/**
 * Finds what leads from one configuration to a newer one.
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

/** Applies a change; nothing is changed if it does not fit. */
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

/** Most records are the very same object; only then is comparing a thousand of them cheap. */
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
 * The same configuration, with the records that an earlier one has as well taken from there: they are kept once, and
 * finding what changed costs one look a record.
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
