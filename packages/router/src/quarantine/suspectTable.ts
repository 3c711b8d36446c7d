/** The records of requests that met crashes, in bounded books by how much is known, and by the endpoints that crashed. */
import { LRUCache } from 'lru-cache';
import type { CrashedRun } from './crashedRuns.js';

/** Crashes after which a request is worth more room. */
const SEEN_TWICE_CRASHES = 2;
/** Requests seen in one crash: the ones in flight at some hundred crashes. The oldest are dropped first. */
const MAX_SEEN_ONCE = 4_096;
/** Requests seen in two crashes; and those not sent any more. All three books full fit into a tenth of a box's heap. */
const MAX_SEEN_TWICE = 1_024;
const MAX_QUARANTINED = 1_024;

/** What is settled about a request. */
export type QuarantineState =
  | { readonly type: 'none' }
  /** Its crashes may be enough: it waits until what other boxes saw of them has come. */
  | { readonly type: 'pending'; readonly judgeAtMs: number }
  /** It is not sent to endpoints, by this box's count or by that of another. */
  | { readonly type: 'quarantined'; readonly untilMs: number }
  /** It was condemned, and the time for which that holds is over. */
  | { readonly type: 'released' };

/** What a box knows against one request. */
export interface SuspectRecord {
  readonly runs: readonly CrashedRun[];
  /** Crashes one after the other. */
  readonly crashes: number;
  readonly state: QuarantineState;
  readonly changedAtMs: number;
}

type SuspectBook = LRUCache<string, SuspectRecord>;

/** All records of one box, by content. */
export class SuspectTable {
  /** Contents that were under way at an endpoint when it crashed, by its tag. */
  private readonly byEndpoint = new Map<number, Set<string>>();
  readonly seenOnce = this.createBook(MAX_SEEN_ONCE);
  readonly seenTwice = this.createBook(MAX_SEEN_TWICE);
  readonly quarantined = this.createBook(MAX_QUARANTINED);
  private readonly books = [this.quarantined, this.seenTwice, this.seenOnce];

  get isEmpty(): boolean {
    return this.books.every((book) => book.size === 0);
  }

  /** Endpoints that crashed under a request which is known here. */
  get endpointCount(): number {
    return this.byEndpoint.size;
  }

  find(content: string): SuspectRecord | undefined {
    for (const book of this.books) {
      const record = book.peek(content);
      if (record !== undefined) return record;
    }
    return undefined;
  }

  /** Writes a record in place of what was known. */
  keep(content: string, record: SuspectRecord): void {
    this.drop(content);
    for (const { endpointTag } of record.runs) this.index(endpointTag, content);
    this.pickBook(record).set(content, record);
  }

  /** Forgets a request. */
  drop(content: string): void {
    for (const book of this.books) book.delete(content);
  }

  /** Other requests that were under way at an endpoint when it crashed. */
  listBeside(content: string, { endpointTag }: CrashedRun): SuspectRecord[] {
    const others = [...(this.byEndpoint.get(endpointTag) ?? [])].filter((other) => other !== content);
    return others.map((other) => this.find(other)).filter((record) => record !== undefined);
  }

  /** A book of bounded size; what leaves it, pushed out or dropped, leaves the index as well. */
  private createBook(max: number): SuspectBook {
    return new LRUCache({ max, dispose: (record, content) => this.unindexAll(content, record) });
  }

  private pickBook({ crashes, state: verdict }: SuspectRecord): SuspectBook {
    if (verdict.type === 'quarantined') return this.quarantined;
    return crashes < SEEN_TWICE_CRASHES ? this.seenOnce : this.seenTwice;
  }

  private index(endpointTag: number, content: string): void {
    const contents = this.byEndpoint.get(endpointTag);
    if (contents === undefined) this.byEndpoint.set(endpointTag, new Set([content]));
    else contents.add(content);
  }

  private unindexAll(content: string, { runs }: SuspectRecord): void {
    for (const { endpointTag } of runs) {
      const contents = this.byEndpoint.get(endpointTag);
      contents?.delete(content);
      if (contents?.size === 0) this.byEndpoint.delete(endpointTag);
    }
  }
}
