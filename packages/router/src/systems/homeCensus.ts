/**
 * Asks engines what they hold. Boxes tell each other where prompts are held, but when all of them start at once nobody
 * knows any more, while the engines still hold everything. A box that starts and is told nothing by peers asks the
 * engines of its own hall once, and tells the others.
 */
import type { Problem, Result } from '@hazelwalk/core';
import type { DecisionLog } from '../observability/decisionLog.js';
import type { EndpointRow, EndpointTable } from '../tables/endpointTable.js';
import type { PromptHomes } from './promptHomes.js';

/** A peer that lives answers on a new link within some milliseconds; engines are asked only after this. */
const PEERS_FIRST_MS = 60;

/** Asks one engine for the ids of the prompt parts that it holds. */
export type ReadHeldParts = (address: {
  readonly host: string;
  readonly port: number;
}) => Promise<Result<readonly string[], Problem>>;

/** What the census works with. */
export interface HomeCensusOptions {
  readonly table: EndpointTable;
  readonly homes: PromptHomes;
  readonly log: DecisionLog;
  readonly hall: string;
  readonly hash: (text: string) => number;
  readonly now: () => number;
  readonly readHeldParts: ReadHeldParts;
  /** Services whose endpoints are engines that hold prompts. */
  readonly listEngineServices: () => readonly string[];
  /** Called when all engines have answered or failed to. */
  readonly onComplete: () => void;
}

type CensusPhase =
  | { readonly type: 'waiting'; readonly sinceMs: number | undefined }
  | { readonly type: 'asking' }
  | { readonly type: 'over' };

/** One box's census. */
export class HomeCensus {
  private phase: CensusPhase = { type: 'waiting', sinceMs: undefined };

  constructor(private readonly options: HomeCensusOptions) {}

  /** Whether this box knows where prompts are held, as far as the fleet does. */
  get isOver(): boolean {
    return this.phase.type === 'over';
  }

  /** There is nothing to ask: a peer told, the engines start with the boxes, or the fleet is too large. */
  skip(): void {
    if (this.phase.type === 'waiting') this.phase = { type: 'over' };
  }

  /** Runs once a tick while the box knows what to serve and where. */
  tick(): void {
    if (this.phase.type !== 'waiting') return;
    const nowMs = this.options.now();
    if (this.phase.sinceMs === undefined) this.phase = { type: 'waiting', sinceMs: nowMs };
    else if (nowMs - this.phase.sinceMs >= PEERS_FIRST_MS) void this.ask();
  }

  private async ask(): Promise<void> {
    this.enter({ type: 'asking' });
    const { table, hall, log, now, onComplete } = this.options;
    const startedAtMs = now();
    const engines = this.options
      .listEngineServices()
      .flatMap((service) => table.listService(service))
      .filter((row) => row.listing.hall === hall && row.listing.state === 'live');
    const counts = await Promise.all(engines.map((row) => this.askOne(row)));
    log.write('lifecycle', 'homesRead', {
      engines: engines.length,
      parts: counts.reduce((sum, count) => sum + count, 0),
      tookMs: Math.round(now() - startedAtMs),
    });
    this.enter({ type: 'over' });
    onComplete();
  }

  private enter(phase: CensusPhase): void {
    this.phase = phase;
  }

  /** Returns the number of parts that the engine holds. */
  private async askOne(row: EndpointRow): Promise<number> {
    const { homes, hash, log, readHeldParts } = this.options;
    const held = await readHeldParts(row.listing);
    if (held.err) {
      log.write('notable', 'homesUnread', { endpoint: row.listing.id, ...held.val });
      return 0;
    }
    for (const part of held.val) homes.note(hash(part), row.tag);
    return held.val.length;
  }
}
