/**
 * Tells the other boxes which requests ended with their endpoint, which of them are condemned, and which were answered
 * after all: a request that crashes its endpoints comes to any box. Nothing is said while no endpoint crashes.
 *
 * In a small fleet each box tells all others. In a larger one it tells its hall; the first two boxes of a hall pass on what
 * is new to them, from their hall to the others and from the others to their hall. What a box missed while it was down or
 * cut off it hears on the link that comes up after.
 */
import { findHallPosition } from '../membership/hallPosition.js';
import type { QuarantinedRequest, CrashedRunReport, CrashReports, Heartbeat } from '../peers/peerFrames.js';
import type { PeerMesh } from '../peers/peerMesh.js';
import type { CrashedRun } from './crashedRuns.js';
import type { Quarantine } from './quarantine.js';
import { QUARANTINE_MS } from './quarantine.js';
import { WitnessClocks } from './reporterClocks.js';

/** Boxes of a hall that pass news on between halls; the second makes up for frames that the first loses. */
const RELAYS_PER_HALL = 2;
/** Requests told on a new link: with three runs each some ten kilobytes, and only after crashes. */
const MAX_TOLD_ON_NEW_LINK = 64;
/** Reports in one frame; what a crash of an engine with all its slots in use brings to one box is less. */
const MAX_REPORTS_PER_FRAME = 256;
/** Lives of boxes are told apart by a number drawn below this. */
const MAX_WITNESS = 2 ** 32;
/** From the box that saw it, to one that passes it to the other halls, to one that passes it on there, to the rest. */
const HOPS_TO_OTHER_HALLS = 1;
const HOPS_WITHIN_OTHER_HALLS = 2;

/** What the relay works with. */
export interface QuarantineRelayOptions {
  readonly mesh: Pick<PeerMesh, 'address' | 'isFullMesh' | 'listReachable' | 'sendToEach'>;
  readonly quarantine: Quarantine;
  readonly hall: string;
  /** Rank of an address, by which all boxes agree on those that pass news on. */
  readonly rank: (address: string) => number;
  readonly now: () => number;
  /** Between 0 and 1. */
  readonly random: () => number;
  /** Called for each crash that another box tells of. */
  readonly onReport?: (delays: CrashReportDelays) => void;
}

/** How late the news of a crash is. */
export interface CrashReportDelays {
  readonly fingerprint: string;
  /** Names the life of the box that saw it. */
  readonly reporter: number;
  /** Boxes that the news passed in between. */
  readonly hops: number;
  /** From the crash until the last box on the way sent the news, as that box says. */
  readonly heldMs: number;
  /** From there to here, over the fastest news of the same witness so far; 0 for its first. */
  readonly delayMs: number;
  /** How long ago the loop of this box last ran its systems: part of the delay, if it is above the pace of the loop. */
  readonly loopMs: number;
}

/** One run of a request that ended with its endpoint. */
interface SeenCrash {
  readonly content: string;
  readonly run: CrashedRun;
}

/** What is told at a time; ages are worked out when it is sent. */
interface News {
  readonly crashes: readonly SeenCrash[];
  /** Contents. */
  readonly condemned: readonly string[];
  readonly cleared: readonly string[];
}

/** What a box is told on a new link, as its first heartbeat carries it. */
export type CrashSnapshot = Pick<Heartbeat, 'crashes' | 'condemned'>;

/** One box's part in spreading what is known against requests. */
export class QuarantineRelay {
  private crashes: SeenCrash[] = [];
  private condemned: string[] = [];
  private cleared: string[] = [];
  private readonly witness: number;
  private readonly clocks = new WitnessClocks();
  private tickedAtMs = 0;

  constructor(private readonly options: QuarantineRelayOptions) {
    this.witness = Math.floor(options.random() * MAX_WITNESS);
  }

  /** This box saw a run end with its endpoint. */
  recordCrash(content: string, run: Pick<CrashedRun, 'endpointTag' | 'sentAtMs' | 'endedAtMs'>): void {
    const seen: SeenCrash = {
      content,
      run: { ...run, reporter: this.witness, localEndAtMs: run.endedAtMs, isLocal: true },
    };
    if (this.options.quarantine.recordCrash(content, seen.run)) this.crashes.push(seen);
  }

  /** This box saw a request answered whole. */
  recordSuccess(content: string): void {
    if (this.options.quarantine.recordSuccess(content)) this.cleared.push(content);
  }

  /** Runs once a tick: judges, and what was seen since the last one goes out together. */
  tick(): void {
    this.tickedAtMs = this.options.now();
    const condemned = this.options.quarantine.tick();
    this.condemned.push(...condemned.filter((content) => this.mustTellVerdict(content)));
    if (this.crashes.length + this.condemned.length + this.cleared.length === 0) return;
    const news: News = {
      crashes: this.crashes.splice(0).slice(-MAX_REPORTS_PER_FRAME),
      condemned: this.condemned.splice(0),
      cleared: this.cleared.splice(0),
    };
    const { mesh, hall } = this.options;
    this.sendWhere(0, news, (other) => mesh.isFullMesh || other === hall);
    if (this.mustPassOn()) this.passOn(0, news);
  }

  /** Takes over what another box tells; passes on what is new here, if that falls to this box. */
  handleCrashReports({ hops, crashes, condemned, cleared }: CrashReports): void {
    const { quarantine, now } = this.options;
    const nowMs = now();
    this.noteDelays(crashes, hops, nowMs);
    const heard = crashes.map(({ content, witness, endedAgoMs, ...run }): SeenCrash => ({
      content,
      run: { ...run, reporter: witness, localEndAtMs: nowMs - endedAgoMs },
    }));
    const told = condemned.filter(({ content, endedAgoMs }) =>
      quarantine.recordRemoteQuarantine(content, nowMs - endedAgoMs),
    );
    const news: News = {
      crashes: heard.filter(({ content, run }) => quarantine.recordCrash(content, run)),
      condemned: told.map(({ content }) => content),
      cleared: cleared.filter((content) => quarantine.recordSuccess(content)),
    };
    const isNews = news.crashes.length + news.condemned.length + news.cleared.length > 0;
    if (isNews && this.mustPassOn()) this.passOn(hops, news);
  }

  /** Tells how late the news of the crashes in a frame is, and where the time went. */
  private noteDelays(crashes: readonly CrashedRunReport[], hops: number, nowMs: number): void {
    for (const report of crashes) {
      const { content, witness, endedAgoMs } = report;
      const delayMs = this.clocks.note(witness, report.endedAtMs + endedAgoMs, nowMs);
      const loopMs = nowMs - this.tickedAtMs;
      this.options.onReport?.({
        fingerprint: content,
        reporter: witness,
        hops,
        heldMs: endedAgoMs,
        delayMs,
        loopMs,
      });
    }
  }

  /** Takes over what a box tells on a link that just came up. */
  handleHeartbeat({ hall, crashes = [], condemned = [] }: Pick<Heartbeat, 'hall'> & CrashSnapshot): void {
    if (crashes.length + condemned.length === 0) return;
    const hops = hall === this.options.hall ? 0 : HOPS_TO_OTHER_HALLS;
    this.handleCrashReports({ type: 'crashNews', hops, crashes, condemned, cleared: [] });
  }

  /** What a box on a new link is told: in a large fleet by those that pass news on. */
  createSnapshot(): CrashSnapshot {
    const { quarantine, mesh } = this.options;
    if (quarantine.isEmpty || (!mesh.isFullMesh && !this.mustPassOn())) return {};
    const worst = quarantine.listBySeverity(MAX_TOLD_ON_NEW_LINK);
    return {
      crashes: worst.flatMap(([content, { runs }]) => runs.map((run) => this.toReport({ content, run }))),
      condemned: this.listVerdicts(worst.map(([content]) => content)),
    };
  }

  /**
   * All boxes judge by the same news. In a large fleet those that pass news on tell what came of it, and a box that saw one
   * of the crashes: it alone may know that a run of its own began after news that came late.
   */
  private mustTellVerdict(content: string): boolean {
    const { mesh, quarantine } = this.options;
    return mesh.isFullMesh || quarantine.hasLocalCrash(content) || this.mustPassOn();
  }

  /** News go from the hall where they were seen to the others, and there to all. */
  private passOn(hops: number, news: News): void {
    if (hops >= HOPS_WITHIN_OTHER_HALLS) return;
    const isHome = hops === HOPS_TO_OTHER_HALLS;
    this.sendWhere(hops + 1, news, (hall) => (hall === this.options.hall) === isHome);
  }

  private sendWhere(hops: number, news: News, isMeant: (hall: string) => boolean): void {
    const { mesh } = this.options;
    const frame: CrashReports = {
      type: 'crashNews',
      hops,
      crashes: news.crashes.map((seen) => this.toReport(seen)),
      condemned: this.listVerdicts(news.condemned),
      cleared: [...news.cleared],
    };
    const meant = mesh.listReachable().filter(({ hall }) => isMeant(hall));
    mesh.sendToEach(
      meant.map(({ address }) => address),
      frame,
    );
  }

  private toReport({ content, run }: SeenCrash): CrashedRunReport {
    const { reporter: witness, localEndAtMs: heardEndAtMs, isLocal: _isOwn, ...seen } = run;
    return { content, ...seen, witness, endedAgoMs: Math.max(0, this.options.now() - heardEndAtMs) };
  }

  private listVerdicts(contents: readonly string[]): QuarantinedRequest[] {
    const { quarantine } = this.options;
    return contents
      .map((content) => ({ content, waitMs: quarantine.readRemainingMs(content) }))
      .filter(({ waitMs }) => waitMs > 0)
      .map(({ content, waitMs }) => ({ content, endedAgoMs: QUARANTINE_MS - waitMs }));
  }

  /** Whether this box passes news on between halls: it is one of the first of its hall. In a small fleet none does. */
  private mustPassOn(): boolean {
    const { mesh, hall, rank } = this.options;
    return !mesh.isFullMesh && findHallPosition(mesh, hall, rank) < RELAYS_PER_HALL;
  }
}
