/**
 * Finds out which software version began a stream that a caller takes up: from what this box knows, or by asking the other
 * boxes.
 *
 * A stream that no box knows began at the only version of its service, if there has been only one for as long as streams go on.
 * This holds if the list of this box has followed each change for so long and is proven whole as of the lookup or later; or
 * else, as in an outage of the platform, if all halls reply that they know of no other version, since boxes report one before
 * streams begin at it (`versionNotices.ts`). Otherwise the origin is unknown, and the stream must not go on.
 */
import type { ListProofs } from '../published/listProofs.js';
import type { PeerMesh, Reply } from '../peers/peerMesh.js';
import type { SoftwareVersions, VersionView } from './softwareVersions.js';
import type { StreamLookup, StreamLookupReply } from './streamFrames.js';
import type { StreamKey, StreamOrigin, StreamOrigins } from './streamOrigins.js';

/** Time for the replies of the other boxes; a caller's stream may be silent for longer than this. */
const REPLY_TIMEOUT_MS = 400;
/** A box that has had a list of endpoints for less than this may not be linked to all others yet. */
const JOINING_MS = 2_000;
/** Lookups in progress at one box. When many streams break at once, later ones are refused and may come again. */
const MAX_PENDING = 256;

/** How the origin of a stream was found. */
export type OriginSource =
  /** This box has recorded it. */
  | 'recorded'
  /** The service has only one version. */
  | 'onlyVersion'
  /** Another box has recorded it. */
  | 'peer';

/** Result of a lookup. */
export type OriginResult =
  | { readonly type: 'known'; readonly origin: StreamOrigin; readonly source: OriginSource }
  | { readonly type: 'unknown' };

/** A stream that a caller takes up. */
export interface SoughtStream {
  readonly key: StreamKey;
  /** Service to which the request of the caller is assigned. */
  readonly service: string;
}

/** Settings and dependencies of the lookups. */
export interface OriginLookupOptions {
  readonly mesh: Pick<
    PeerMesh,
    'address' | 'isFullMesh' | 'hasJoinedFleet' | 'listReachable' | 'listOtherHalls' | 'send'
  >;
  readonly hall: string;
  readonly origins: StreamOrigins;
  readonly versions: SoftwareVersions;
  readonly proofs: Pick<ListProofs, 'request'>;
  readonly now: () => number;
  /** How long a stream may go on after its first event. */
  readonly readRetentionMs: () => number;
}

interface PendingLookup extends SoughtStream {
  readonly sequence: number;
  readonly onResult: (result: OriginResult) => void;
  readonly endsAtMs: number;
  /** Boxes that were asked directly, and those of them that have not replied. */
  readonly asked: Set<string>;
  readonly unanswered: Set<string>;
  readonly heardHalls: Set<string>;
  readonly softwareVersions: Set<string>;
  /** Longest time for which one of the boxes has had a list of endpoints. */
  listedMs: number;
}

/** Lookups of one box, and its replies to those of others. */
export class OriginLookup {
  private readonly pending = new Map<number, PendingLookup>();
  private nextSequence = 0;

  constructor(private readonly options: OriginLookupOptions) {}

  /**
   * Finds the origin of a stream; the result may come before the call returns.
   *
   * @example lookup.find({ key, service: 'llm' }, (result) => result.type === 'unknown' && refuse())
   */
  find(stream: SoughtStream, onResult: (result: OriginResult) => void): void {
    const { origins, versions } = this.options;
    const recorded = origins.find(stream.key);
    if (recorded !== undefined) return onResult({ type: 'known', origin: recorded, source: 'recorded' });
    // The list as it is cannot decide: a version may have come that has not reached this box. But it can rule out the proof.
    if (this.findCovered(stream) === undefined)
      return this.ask(stream, versions.readView(stream.service), onResult);
    this.options.proofs.request((proof) => {
      const only = proof === 'proven' ? this.findCovered(stream) : undefined;
      if (only !== undefined) onResult(only);
      else this.ask(stream, versions.readView(stream.service), onResult);
    });
  }

  /** Runs once a tick: ends the lookups whose time is up, and asks boxes that can be reached since. */
  tick(nowMs: number): void {
    for (const lookup of [...this.pending.values()]) {
      if (nowMs >= lookup.endsAtMs) this.conclude(lookup);
      else this.askReachable(lookup);
    }
  }

  /**
   * Replies to the lookup of another box. In a larger fleet a box with links to other halls passes it on to them.
   *
   * @param sendBack answers on the link of the box that asks, as the own link to one that has just started may not be up
   */
  handleLookup(frame: StreamLookup, sendBack: Reply): void {
    const { mesh, hall, origins, versions } = this.options;
    const { address, via, sequence, service, stream } = frame;
    const view = versions.readView(service);
    sendBack({
      type: 'streamLookupReply',
      address,
      sequence,
      box: mesh.address,
      hall,
      softwareVersions: [...view.softwareVersions],
      // Boxes of earlier versions take a time for a proof.
      coveredMs: 0,
      listedMs: view.listedMs,
      origin: origins.find(stream),
    });
    if (via !== '' || frame.hall !== hall || mesh.isFullMesh) return;
    for (const target of this.listPeers((other) => other !== hall))
      mesh.send(target, { ...frame, via: mesh.address });
  }

  /** Handles a reply, or passes it on to the box that asked. */
  handleReply(reply: StreamLookupReply): void {
    const { mesh } = this.options;
    if (reply.address !== mesh.address) return mesh.send(reply.address, reply);
    const lookup = this.pending.get(reply.sequence);
    if (lookup === undefined) return;
    if (reply.origin !== undefined)
      return this.finish(lookup, { type: 'known', origin: reply.origin, source: 'peer' });
    this.recordReply(lookup, reply);
    if (this.hasHeardAll(lookup)) this.conclude(lookup);
  }

  private ask(stream: SoughtStream, view: VersionView, onResult: PendingLookup['onResult']): void {
    const { mesh, hall, now } = this.options;
    if (this.pending.size >= MAX_PENDING) return onResult({ type: 'unknown' });
    const lookup: PendingLookup = {
      ...stream,
      sequence: this.nextSequence,
      onResult,
      endsAtMs: now() + REPLY_TIMEOUT_MS,
      asked: new Set(),
      unanswered: new Set(),
      heardHalls: new Set([hall]),
      softwareVersions: new Set(view.softwareVersions),
      listedMs: view.listedMs,
    };
    this.nextSequence += 1;
    this.pending.set(lookup.sequence, lookup);
    this.askReachable(lookup);
    if (lookup.asked.size === 0 && mesh.hasJoinedFleet) this.conclude(lookup);
  }

  /** Asks the linked boxes that were not asked yet. */
  private askReachable(lookup: PendingLookup): void {
    for (const address of this.listPeers(() => true)) {
      if (lookup.asked.has(address)) continue;
      lookup.asked.add(address);
      lookup.unanswered.add(address);
      this.options.mesh.send(address, this.createLookup(lookup));
    }
  }

  private createLookup({ sequence, service, key }: PendingLookup): StreamLookup {
    const { mesh, hall } = this.options;
    return { type: 'streamLookup', address: mesh.address, hall, via: '', sequence, service, stream: key };
  }

  private recordReply(lookup: PendingLookup, reply: StreamLookupReply): void {
    lookup.unanswered.delete(reply.box);
    lookup.heardHalls.add(reply.hall);
    for (const version of reply.softwareVersions) lookup.softwareVersions.add(version);
    lookup.listedMs = Math.max(lookup.listedMs, reply.listedMs);
  }

  /** Decides by the replies that have arrived. */
  private conclude(lookup: PendingLookup): void {
    const knownMs = this.hasHeardAllHalls(lookup) ? lookup.listedMs : 0;
    const only = this.findOnlyVersion(lookup.service, [...lookup.softwareVersions], knownMs);
    this.finish(lookup, only ?? { type: 'unknown' });
  }

  private finish(lookup: PendingLookup, result: OriginResult): void {
    if (this.pending.delete(lookup.sequence)) lookup.onResult(result);
  }

  /** The only version of the service by a list that this box has followed for as long as streams go on. */
  private findCovered({ service }: SoughtStream): OriginResult | undefined {
    const view = this.options.versions.readView(service);
    return this.findOnlyVersion(service, view.softwareVersions, view.coveredMs);
  }

  /** The only version of a service, if it has been the only one for as long as streams go on. */
  private findOnlyVersion(
    service: string,
    [softwareVersion, ...others]: readonly string[],
    knownMs: number,
  ): OriginResult | undefined {
    if (softwareVersion === undefined || others.length > 0) return undefined;
    if (knownMs < this.options.readRetentionMs()) return undefined;
    return { type: 'known', origin: { service, softwareVersion }, source: 'onlyVersion' };
  }

  /** Whether no further reply is due. */
  private hasHeardAll(lookup: PendingLookup): boolean {
    const { listedMs } = this.options.versions.readView(lookup.service);
    return lookup.unanswered.size === 0 && listedMs >= JOINING_MS && this.hasHeardAllHalls(lookup);
  }

  private hasHeardAllHalls({ heardHalls }: PendingLookup): boolean {
    return this.options.mesh.listOtherHalls().every((hall) => heardHalls.has(hall));
  }

  /** Addresses of the reachable boxes of some halls that handle frames about streams. */
  private listPeers(isWanted: (hall: string) => boolean): string[] {
    return this.options.mesh
      .listReachable()
      .filter(({ hall, tracksStreams = false }) => tracksStreams && isWanted(hall))
      .map(({ address }) => address);
  }
}
