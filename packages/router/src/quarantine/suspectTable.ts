/**
 * Records of the requests that were in flight during crashes, in bounded caches by the number of crashes, and indexed by
 * the endpoints that crashed.
 */
import { LRUCache } from 'lru-cache';
import type { CrashedRun } from './crashedRuns.js';
import type { QuarantineScope } from './quarantineScope.js';

/** Crashes after which a request is kept in another cache, from which requests with a single crash cannot evict it. */
const SEEN_TWICE_CRASHES = 2;
/** Requests seen in one crash: those in flight during some hundred crashes. The oldest are evicted first. */
const MAX_SEEN_ONCE = 4_096;
/** Requests seen in two or more crashes. All three caches, when full, fit into a tenth of a box's heap. */
const MAX_SEEN_TWICE = 1_024;
/** Requests in quarantine. */
const MAX_QUARANTINED = 1_024;

/** Quarantine state of one request, or of one part of a prompt. */
export type QuarantineState =
  | { readonly type: 'none' }
  /** It may have crashed enough endpoints; the decision waits for the reports of other boxes. */
  | { readonly type: 'pending'; readonly decideAtMs: number }
  /** Requests in the scope are not sent to endpoints, by the decision of this box or of another one. */
  | {
      readonly type: 'quarantined';
      readonly untilMs: number;
      readonly scope: QuarantineScope;
      /** When it is decided whether the scope widens, as a request outside it has crashed; undefined if none has. */
      readonly reviewAtMs?: number | undefined;
    }
  /** Its quarantine has expired. */
  | { readonly type: 'released'; readonly scope: QuarantineScope };

/** What a box has recorded about one request, or about one part of a prompt. */
export interface SuspectRecord {
  readonly runs: readonly CrashedRun[];
  /** Number of sequential crashes. */
  readonly crashes: number;
  readonly state: QuarantineState;
  readonly changedAtMs: number;
}

type SuspectCache = LRUCache<string, SuspectRecord>;

/** All records of one box, by the fingerprint of the request. */
export class SuspectTable {
  /** Fingerprints of the requests that were in flight at an endpoint when it crashed, by the endpoint's tag. */
  private readonly byEndpoint = new Map<number, Set<string>>();
  readonly seenOnce = this.createCache(MAX_SEEN_ONCE);
  readonly seenTwice = this.createCache(MAX_SEEN_TWICE);
  readonly quarantined = this.createCache(MAX_QUARANTINED);
  private readonly caches = [this.quarantined, this.seenTwice, this.seenOnce];

  get isEmpty(): boolean {
    return this.caches.every((cache) => cache.size === 0);
  }

  /** Endpoints that crashed while a request of this table was in flight there. */
  get endpointCount(): number {
    return this.byEndpoint.size;
  }

  find(fingerprint: string): SuspectRecord | undefined {
    for (const cache of this.caches) {
      const record = cache.peek(fingerprint);
      if (record !== undefined) return record;
    }
    return undefined;
  }

  /** Stores a record in place of an earlier one of the same request. */
  set(fingerprint: string, record: SuspectRecord): void {
    this.delete(fingerprint);
    for (const { endpointTag } of record.runs) this.addToIndex(endpointTag, fingerprint);
    this.selectCache(record).set(fingerprint, record);
  }

  /** Removes the record of a request. */
  delete(fingerprint: string): void {
    for (const cache of this.caches) cache.delete(fingerprint);
  }

  /** Other requests that were in flight at the endpoint of a run when it crashed. */
  listConcurrent(fingerprint: string, { endpointTag }: CrashedRun): SuspectRecord[] {
    const others = [...(this.byEndpoint.get(endpointTag) ?? [])].filter((other) => other !== fingerprint);
    return others.map((other) => this.find(other)).filter((record) => record !== undefined);
  }

  /** Creates a cache of bounded size; a record that is evicted or deleted is removed from the index as well. */
  private createCache(max: number): SuspectCache {
    return new LRUCache({ max, dispose: (record, fingerprint) => this.removeFromIndex(fingerprint, record) });
  }

  private selectCache({ crashes, state }: SuspectRecord): SuspectCache {
    if (state.type === 'quarantined') return this.quarantined;
    return crashes < SEEN_TWICE_CRASHES ? this.seenOnce : this.seenTwice;
  }

  private addToIndex(endpointTag: number, fingerprint: string): void {
    const fingerprints = this.byEndpoint.get(endpointTag);
    if (fingerprints === undefined) this.byEndpoint.set(endpointTag, new Set([fingerprint]));
    else fingerprints.add(fingerprint);
  }

  private removeFromIndex(fingerprint: string, { runs }: SuspectRecord): void {
    for (const { endpointTag } of runs) {
      const fingerprints = this.byEndpoint.get(endpointTag);
      fingerprints?.delete(fingerprint);
      if (fingerprints?.size === 0) this.byEndpoint.delete(endpointTag);
    }
  }
}
