/**
 * Reports a further software version of a service to other boxes before streams begin at it. A box that replies to a lookup
 * thus knows of each version at which a box that is gone may have begun streams, also when no box can read the platform.
 */
import type { PeerMesh, Reply } from '../peers/peerMesh.js';
import type { SoftwareVersions } from './softwareVersions.js';
import type { VersionNotice, VersionNoticeAck } from './streamFrames.js';
import type { ReplicaCandidate } from './streamReplicas.js';
import { pickHallReplicas } from './streamReplicas.js';

/** Boxes that have not confirmed a notice by then, as paused ones, are no longer awaited if others have confirmed it. */
const CONFIRMATION_TIMEOUT_MS = 250;
/** Interval at which a notice is repeated that no box has confirmed. */
const REPEAT_MS = 1_000;
/** A box that reaches no other one for this long uses the version without a confirmation. */
const ISOLATION_TIMEOUT_MS = 3_000;
const HOPS_TO_OTHER_HALL = 1;

/** Settings and dependencies of the notices. */
export interface VersionNoticesOptions {
  readonly mesh: Pick<PeerMesh, 'address' | 'isFullMesh' | 'listReachable' | 'listHallPeers' | 'sendToEach'>;
  readonly hall: string;
  /** Rank of an address, by which all boxes agree on the relays of a hall. */
  readonly rank: (address: string) => number;
  readonly versions: SoftwareVersions;
  readonly now: () => number;
}

/** A notice about the versions of one service. */
interface PendingNotice {
  readonly softwareVersions: ReadonlySet<string>;
  /** When the first notice about these versions was due. */
  readonly sinceMs: number;
  sequence: number;
  sentAtMs: number;
  unconfirmed: Set<string>;
  isConfirmed: boolean;
}

/** The notices of one box. */
export class VersionNotices {
  private readonly pending = new Map<string, PendingNotice>();
  /** By service: the versions that other boxes know of, or the only one. */
  private readonly known = new Map<string, ReadonlySet<string>>();
  private nextSequence = 0;

  constructor(private readonly options: VersionNoticesOptions) {}

  /** Runs once a tick. */
  tick(nowMs: number): void {
    const services = this.options.versions.listServices();
    for (const { service, listed, isMixed } of services) {
      if (isMixed) this.report(service, listed, nowMs);
      else this.settle(service, new Set(listed));
    }
    const names = new Set(services.map(({ service }) => service));
    for (const service of this.known.keys()) if (!names.has(service)) this.known.delete(service);
  }

  /**
   * Keeps the endpoints at which streams may begin: those of versions that other boxes know of. All are kept if there are no
   * such ones, or while this box has just started.
   *
   * @example notices.filterKnown('llm', rows) // without the first endpoint of a new version, for some milliseconds
   */
  filterKnown<T extends { readonly listing: { readonly softwareVersion?: string | undefined } }>(
    service: string,
    rows: readonly T[],
  ): readonly T[] {
    const known = this.known.get(service);
    if (known === undefined) return rows;
    const kept = rows.filter(
      ({ listing: { softwareVersion } }) => softwareVersion === undefined || known.has(softwareVersion),
    );
    return kept.length > 0 ? kept : rows;
  }

  /** Counts with the versions that another box reports, and passes them on to other halls. */
  handleNotice(notice: VersionNotice, sendBack: Reply): void {
    const { mesh, hall, versions } = this.options;
    const { service, softwareVersions, sequence, hops } = notice;
    for (const version of softwareVersions) versions.recordReported(service, version);
    sendBack({ type: 'versionNoticeAck', address: mesh.address, sequence });
    if (mesh.isFullMesh || hops >= HOPS_TO_OTHER_HALL) return;
    const relays = this.listPeers().filter((peer) => peer.hall !== hall);
    mesh.sendToEach(
      relays.map(({ address }) => address),
      { ...notice, hops: HOPS_TO_OTHER_HALL },
    );
  }

  /** Handles the confirmation of another box. */
  handleAck({ address, sequence }: VersionNoticeAck): void {
    for (const [service, notice] of this.pending) {
      if (notice.sequence !== sequence) continue;
      if (notice.unconfirmed.delete(address)) notice.isConfirmed = true;
      if (notice.unconfirmed.size === 0) this.settle(service, notice.softwareVersions);
    }
  }

  private report(service: string, listed: readonly string[], nowMs: number): void {
    const known = this.known.get(service);
    if (listed.every((version) => known?.has(version) === true)) return this.settle(service, new Set(listed));
    const notice = this.getOrCreate(service, listed, nowMs);
    if (nowMs - notice.sentAtMs >= REPEAT_MS) this.send(service, notice, nowMs);
    const isOverdue = notice.isConfirmed && nowMs - notice.sentAtMs >= CONFIRMATION_TIMEOUT_MS;
    if (isOverdue || nowMs - notice.sinceMs >= ISOLATION_TIMEOUT_MS)
      this.settle(service, notice.softwareVersions);
  }

  private getOrCreate(service: string, listed: readonly string[], nowMs: number): PendingNotice {
    const pending = this.pending.get(service);
    const isSame =
      pending?.softwareVersions.size === listed.length &&
      listed.every((version) => pending.softwareVersions.has(version));
    if (pending !== undefined && isSame) return pending;
    const created: PendingNotice = {
      softwareVersions: new Set(listed),
      sinceMs: nowMs,
      sequence: -1,
      sentAtMs: -Infinity,
      unconfirmed: new Set(),
      isConfirmed: false,
    };
    this.pending.set(service, created);
    return created;
  }

  private send(service: string, notice: PendingNotice, nowMs: number): void {
    const { mesh } = this.options;
    const targets = this.pickTargets();
    notice.sentAtMs = nowMs;
    notice.sequence = this.nextSequence;
    notice.unconfirmed = new Set(targets);
    this.nextSequence += 1;
    if (targets.length === 0 && mesh.listHallPeers().length === 0)
      return this.settle(service, notice.softwareVersions);
    mesh.sendToEach(targets, {
      type: 'versionNotice',
      address: mesh.address,
      sequence: notice.sequence,
      hops: 0,
      service,
      softwareVersions: [...notice.softwareVersions],
    });
  }

  private settle(service: string, softwareVersions: ReadonlySet<string>): void {
    this.pending.delete(service);
    this.known.set(service, softwareVersions);
  }

  /** All boxes of a small fleet; in a larger one those that also keep the origins of streams of this box. */
  private pickTargets(): string[] {
    const { mesh, hall, rank } = this.options;
    const peers = this.listPeers();
    if (mesh.isFullMesh) return peers.map(({ address }) => address);
    const owner = { address: mesh.address, hall, rank };
    const inHall = peers.filter((peer) => peer.hall === hall);
    const elsewhere = peers.filter((peer) => peer.hall !== hall).map(({ address }) => address);
    return [...pickHallReplicas(owner, inHall), ...elsewhere];
  }

  private listPeers(): ReplicaCandidate[] {
    return this.options.mesh.listReachable().filter(({ provesLists = false }) => provesLists);
  }
}
