/**
 * Tells the other boxes which requests ended with their endpoint, and which were answered after all: a request that
 * crashes its endpoints comes to any box. Nothing is said while no endpoint crashes.
 *
 * In a small fleet each box tells all others. In a larger one it tells its hall; the first two boxes of a hall pass on what
 * is new to them, from their hall to the others and from the others to their hall. What a box missed while it was down or
 * cut off it hears on the link that comes up after.
 */
import type { CrashedRunReport, CrashNews } from '../peers/peerFrames.js';
import type { PeerMesh } from '../peers/peerMesh.js';
import type { CrashedRun } from './crashedRuns.js';
import type { Quarantine } from './quarantine.js';

/** Boxes of a hall that pass news on between halls; the second makes up for frames that the first loses. */
const RELAYS_PER_HALL = 2;
/** Requests told on a new link: with three runs each some ten kilobytes, and only after crashes. */
const MAX_TOLD_ON_NEW_LINK = 64;
/** Reports in one frame; what a crash of an engine with all its slots in use brings to one box is less. */
const MAX_REPORTS_PER_FRAME = 256;

/** What the relay works with. */
export interface QuarantineRelayOptions {
  readonly mesh: Pick<PeerMesh, 'address' | 'isFlat' | 'listLinked' | 'send'>;
  readonly quarantine: Quarantine;
  readonly hall: string;
  /** Rank of an address, by which all boxes agree on those that pass news on. */
  readonly rank: (address: string) => number;
  readonly now: () => number;
}

/** One run of a request that ended with its endpoint. */
interface SeenCrash {
  readonly content: string;
  readonly run: CrashedRun;
}

/** One box's part in spreading what is known against requests. */
export class QuarantineRelay {
  private crashes: SeenCrash[] = [];
  private cleared: string[] = [];

  constructor(private readonly options: QuarantineRelayOptions) {}

  /** This box saw a run end with its endpoint. */
  noteCrash(content: string, run: Omit<CrashedRun, 'witness'>): void {
    const { quarantine, rank, mesh } = this.options;
    const seen = { content, run: { ...run, witness: rank(mesh.address) } };
    if (quarantine.noteCrash(content, seen.run)) this.crashes.push(seen);
  }

  /** This box saw a request answered whole. */
  noteAnswered(content: string): void {
    if (this.options.quarantine.noteAnswered(content)) this.cleared.push(content);
  }

  /** Runs once a tick: what was seen since the last one goes out together. */
  tick(): void {
    if (this.crashes.length === 0 && this.cleared.length === 0) return;
    const crashes = this.crashes.splice(0).slice(-MAX_REPORTS_PER_FRAME);
    const news = this.createNews(this.options.hall, crashes, this.cleared.splice(0));
    this.sendWhere(news, (hall) => this.options.mesh.isFlat || hall === this.options.hall);
    if (this.mustPassOn()) this.sendWhere(news, (hall) => hall !== this.options.hall);
  }

  /** Takes over what another box tells; passes on what is new here, if that falls to this box. */
  handleNews(news: CrashNews): void {
    const fresh = this.takeReports(news.crashes);
    const cleared = news.cleared.filter((content) => this.options.quarantine.noteAnswered(content));
    if (fresh.length === 0 && cleared.length === 0) return;
    if (!this.mustPassOn()) return;
    const { hall } = this.options;
    const isFromHere = news.hall === hall;
    this.sendWhere(this.createNews(news.hall, fresh, cleared), (other) => (other === hall) !== isFromHere);
  }

  /** Takes over what a box tells on a link that just came up. */
  handleGreeting(hall: string, reports: readonly CrashedRunReport[]): void {
    if (reports.length > 0) this.handleNews({ type: 'crashNews', hall, crashes: [...reports], cleared: [] });
  }

  /** What a box on a new link is told: in a large fleet by those that pass news on. */
  listForNewLink(): CrashedRunReport[] {
    const { quarantine, mesh } = this.options;
    if (quarantine.isEmpty || (!mesh.isFlat && !this.mustPassOn())) return [];
    return quarantine
      .listWorst(MAX_TOLD_ON_NEW_LINK)
      .flatMap(([content, { runs }]) => runs.map((run) => this.toReport({ content, run })));
  }

  private takeReports(reports: readonly CrashedRunReport[]): SeenCrash[] {
    const { quarantine, now } = this.options;
    const nowMs = now();
    const seen = reports.map(({ content, endpointTag, witness, sentAgoMs, endedAgoMs }) => ({
      content,
      run: { endpointTag, witness, sentAtMs: nowMs - sentAgoMs, endedAtMs: nowMs - endedAgoMs },
    }));
    return seen.filter(({ content, run }) => quarantine.noteCrash(content, run));
  }

  private createNews(hall: string, crashes: readonly SeenCrash[], cleared: string[]): CrashNews {
    return { type: 'crashNews', hall, crashes: crashes.map((seen) => this.toReport(seen)), cleared };
  }

  private toReport({ content, run }: SeenCrash): CrashedRunReport {
    const nowMs = this.options.now();
    const { endpointTag, witness, sentAtMs, endedAtMs } = run;
    return {
      content,
      endpointTag,
      witness,
      sentAgoMs: Math.round(nowMs - sentAtMs),
      endedAgoMs: Math.round(nowMs - endedAtMs),
    };
  }

  private sendWhere(news: CrashNews, isMeant: (hall: string) => boolean): void {
    const { mesh } = this.options;
    for (const { hall, address } of mesh.listLinked()) if (isMeant(hall)) mesh.send(address, news);
  }

  /** Whether this box passes news on between halls: it is one of the first of its hall. In a small fleet none does. */
  private mustPassOn(): boolean {
    const { mesh, hall, rank } = this.options;
    if (mesh.isFlat) return false;
    const own = rank(mesh.address);
    const before = mesh
      .listLinked()
      .filter((peer) => peer.hall === hall && !peer.isStopping && rank(peer.address) < own);
    return before.length < RELAYS_PER_HALL;
  }
}
