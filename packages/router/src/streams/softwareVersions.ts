/**
 * Which software versions of each service serve, or served a moment ago: a stream of a version that has left must not go on at
 * another one.
 */
import type { EndpointRow, EndpointTable } from '../tables/endpointTable.js';

/** What a box knows of the versions of one service. */
export interface VersionView {
  /** Versions that serve, or have served while streams that they began may still go on. */
  readonly softwareVersions: readonly string[];
  /** For how long each single change has reached this box; 0 if it lacks the version of an endpoint. */
  readonly coveredMs: number;
  /** For how long this box has had a list of endpoints, be it an old one; 0 if it lacks the version of one of them. */
  readonly listedMs: number;
}

/** The versions of one service in the list of a box. */
export interface ServiceVersions {
  readonly service: string;
  readonly listed: readonly string[];
  readonly isMixed: boolean;
}

/** Dependencies of the versions. */
export interface SoftwareVersionsOptions {
  readonly table: Pick<EndpointTable, 'byId' | 'listService' | 'revision'>;
  readonly now: () => number;
  /** Since when each single change of the list of endpoints has reached this box. */
  readonly readUnbrokenSinceMs: () => number;
  /** How long a stream may go on after its first event. */
  readonly readRetentionMs: () => number;
}

/** The versions that one box has seen lately. */
export class SoftwareVersions {
  /** By service and version: when it was last listed. */
  private readonly lastListedAtMs = new Map<string, Map<string, number>>();
  private seenRevision = -1;
  private listedSinceMs = Infinity;

  constructor(private readonly options: SoftwareVersionsOptions) {}

  /** Runs once a tick. */
  tick(nowMs: number): void {
    this.refresh(nowMs);
    this.forgetOld(nowMs);
  }

  /** Whether streams of any service can belong to different versions. */
  get isAnyMixed(): boolean {
    return [...this.lastListedAtMs.values()].some((versions) => versions.size > 1);
  }

  /** Whether streams of a service can belong to different versions. */
  isMixed(service: string): boolean {
    return (this.lastListedAtMs.get(service)?.size ?? 0) > 1;
  }

  /** The services with the versions that are listed now, and whether streams may belong to others as well. */
  listServices(): ServiceVersions[] {
    this.refresh(this.options.now());
    return [...this.lastListedAtMs].map(([service, versions]) => ({
      service,
      listed: [...versions].filter(([, atMs]) => atMs === Infinity).map(([version]) => version),
      isMixed: versions.size > 1,
    }));
  }

  /** Records a version that another box has listed and this one may not have. */
  recordReported(service: string, softwareVersion: string): void {
    this.recordListed(service, softwareVersion, this.options.now());
  }

  /** The versions of a service that serve or served lately, and how certain that is. */
  readView(service: string): VersionView {
    const nowMs = this.options.now();
    this.refresh(nowMs);
    const softwareVersions = [...(this.lastListedAtMs.get(service)?.keys() ?? [])];
    const isComplete = !this.lacksVersion(service);
    return {
      softwareVersions,
      coveredMs: isComplete ? Math.max(0, nowMs - this.options.readUnbrokenSinceMs()) : 0,
      listedMs: isComplete ? Math.max(0, nowMs - this.listedSinceMs) : 0,
    };
  }

  private refresh(nowMs: number): void {
    const { table } = this.options;
    if (table.revision === this.seenRevision) return;
    this.seenRevision = table.revision;
    if (table.byId.size > 0) this.listedSinceMs = Math.min(this.listedSinceMs, nowMs);
    for (const versions of this.lastListedAtMs.values())
      for (const [version, atMs] of versions) if (atMs === Infinity) versions.set(version, nowMs);
    for (const row of table.byId.values()) this.markListed(row);
  }

  private markListed({ listing }: EndpointRow): void {
    const { service, softwareVersion } = listing;
    if (softwareVersion !== undefined) this.recordListed(service, softwareVersion, Infinity);
  }

  /** @param untilMs when it was last listed; Infinity while it is */
  private recordListed(service: string, softwareVersion: string, untilMs: number): void {
    const versions = this.lastListedAtMs.get(service) ?? new Map<string, number>();
    versions.set(softwareVersion, Math.max(untilMs, versions.get(softwareVersion) ?? -Infinity));
    this.lastListedAtMs.set(service, versions);
  }

  private forgetOld(nowMs: number): void {
    const beforeMs = nowMs - this.options.readRetentionMs();
    for (const [service, versions] of this.lastListedAtMs) {
      for (const [version, atMs] of versions) if (atMs < beforeMs) versions.delete(version);
      if (versions.size === 0) this.lastListedAtMs.delete(service);
    }
  }

  private lacksVersion(service: string): boolean {
    const rows = this.options.table.listService(service);
    return rows.some(({ listing }) => listing.softwareVersion === undefined);
  }
}
