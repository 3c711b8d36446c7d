/** The configuration in force and those before it, from which changes are derived and to which they apply. */
import { Err, Ok } from '@hazelwalk/core';
import type { Result } from '@hazelwalk/core';
import type { FleetConfiguration } from '../records.js';
import type { ChangeFailure, ConfigurationChange } from './configurationChange.js';
import {
  applyConfigurationChange,
  ConfigurationDigest,
  diffConfigurations,
  shareRecords,
} from './configurationChange.js';
import type { ValueSource } from './publication.js';
import { RouteIndex } from '../systems/routeIndex.js';

/**
 * Earlier configurations to which a change for a peer may apply; records are shared, so each one takes little memory.
 */
const KEPT_CONFIGURATIONS = 32;

/** Dependencies and callbacks of the history. */
export interface ConfigurationHistoryOptions {
  readonly hash: (text: string) => number;
  /** A configuration is in force now; `before` is the version before it, undefined for the first. */
  readonly onInstalled: (
    configuration: FleetConfiguration,
    before: number | undefined,
    source: ValueSource,
  ) => void;
}

/** The configurations of one box. The version in force never decreases. */
export class ConfigurationHistory {
  private currentIndex: RouteIndex | undefined;
  /** The configurations that were in force, the newest last. */
  private readonly configurations: FleetConfiguration[] = [];
  private readonly digest: ConfigurationDigest;

  constructor(private readonly options: ConfigurationHistoryOptions) {
    this.digest = new ConfigurationDigest(options.hash);
  }

  /** The configuration in force; undefined before the first. */
  get index(): RouteIndex | undefined {
    return this.currentIndex;
  }

  /** Approximate size of the configuration in force when sent, in characters; 0 before the first. */
  get chars(): number {
    const { currentIndex } = this;
    return currentIndex === undefined ? 0 : this.digest.countChars(currentIndex.configuration);
  }

  /** Version of the configuration in force; 0 before the first. */
  get version(): number {
    return this.currentIndex?.configuration.version ?? 0;
  }

  /** Applies a configuration if it is newer than the one in force. */
  adopt(configuration: FleetConfiguration, source: ValueSource): void {
    const current = this.currentIndex?.configuration;
    if (current !== undefined && configuration.version <= current.version) return;
    this.install(current === undefined ? configuration : shareRecords(current, configuration), source);
  }

  /**
   * Applies a change of the configuration that a peer sent; older changes are ignored. The change may apply to any
   * version that was in force here: watchers that back each other up do not see the same versions.
   */
  adoptChange(change: ConfigurationChange): Result<void, ChangeFailure> {
    if (change.version <= this.version) return Ok(undefined);
    const before = this.configurations.find((kept) => kept.version === change.from);
    if (before === undefined) return Err('otherVersion');
    const applied = applyConfigurationChange(this.digest, before, change);
    if (applied.err) return applied;
    this.install(applied.val, 'peer');
    return Ok(undefined);
  }

  /** Change from an earlier version to the one in force; undefined if that version is not kept. */
  createChangeSince(fromVersion: number): ConfigurationChange | undefined {
    const after = this.currentIndex?.configuration;
    const before = this.configurations.find((kept) => kept.version === fromVersion);
    if (after === undefined || before === undefined || before === after) return undefined;
    return diffConfigurations(this.digest, before, after);
  }

  /** Approximate size of a change when sent, in characters. */
  measureChange(change: ConfigurationChange): number {
    const { routes, services, teams } = change;
    return [routes, services, teams].reduce(
      (sum, records) =>
        sum + JSON.stringify(records?.written ?? []).length + (records?.removed.join().length ?? 0),
      0,
    );
  }

  private install(configuration: FleetConfiguration, source: ValueSource): void {
    const before = this.currentIndex?.configuration.version;
    this.currentIndex = new RouteIndex(configuration);
    this.configurations.push(configuration);
    if (this.configurations.length > KEPT_CONFIGURATIONS) this.configurations.shift();
    this.options.onInstalled(configuration, before, source);
  }
}
