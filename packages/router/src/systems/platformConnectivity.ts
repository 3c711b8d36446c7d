/**
 * Whether what this box knows of the platform is current, by its own calls or by the reports of peers that read it.
 *
 * Entries of live endpoints vanish while the platform is away, so an entry that vanishes then does not prove that its
 * endpoint leaves. Calls of this box that fail do not show that the platform is away: only its own way may be cut, while
 * peers go on reading and tell what changes. Taking the one for the other would keep endpoints that have left in use for as
 * long as the cut lasts.
 */

/** Entries of live endpoints are listed again within about two seconds of the platform's return. */
const LAPSE_MS = 2_000;
/**
 * For so long what a peer said of the platform holds. Peers speak once a second or more often. An outage that fits in lets no
 * entry lapse: that takes three signs of life of an endpoint, 1.2 s apart.
 */
const REPORT_LIFE_MS = 2_000;
/** For so long an own answer is news: a waiting call lasts up to 3 s, and is found to be lost 0.9 s later. */
const ANSWER_LIFE_MS = 4_000;

/** What a box tells another of its contact with the platform. */
export interface PlatformReport {
  /** For how long an entry that vanishes may only have lapsed. */
  readonly doubtMs: number;
  /** How old the report is: a box that does not read the platform itself was told so long ago. */
  readonly saidAgoMs: number;
}

/** Times of the last reports of a peer. */
interface PeerReport {
  /** It had nothing newer than this box. */
  readonly confirmedAtMs: number;
  /** It told all that was new. */
  readonly toldAtMs: number;
}

/** By whom a box knows what the platform publishes: its own calls, peers that read it, or nobody. */
export type ConnectivitySource = 'own' | 'peers' | 'none';

/** One box's contact with the platform. Times in milliseconds of one clock. */
export class PlatformConnectivity {
  private isReading = false;
  private answeredAtMs = -Infinity;
  /** Reports of peers that still hold, by address. */
  private readonly reports = new Map<string, PeerReport>();
  /** Until then an entry that vanishes may only have lapsed. */
  private settledAtMs = 0;
  /** The same, as far as this box saw it as it read the platform: what it tells others. */
  private ownSettledAtMs = 0;
  /** The same, as those said who told it: what it passes on while they read the platform and it does not. */
  private toldSettledAtMs = 0;

  /** The platform answered a call of this box. */
  recordAnswer(nowMs: number): void {
    this.noteReturn(nowMs);
    // A box that just started knows nothing of the platform's past: its doubts are not the others'.
    if (!this.isReading && this.answeredAtMs !== -Infinity) this.ownSettledAtMs = this.settledAtMs;
    this.isReading = true;
    this.answeredAtMs = nowMs;
  }

  /**
   * Extends the unsettled period after a restore from a backup, so that endpoints missing from the backup are kept until they have
   * written their entries again.
   *
   * @param isOwn whether this box detected the restore itself and reports it to its peers
   */
  handleRestore(isOwn: boolean, nowMs: number): void {
    this.settledAtMs = Math.max(this.settledAtMs, nowMs + LAPSE_MS);
    if (isOwn) this.ownSettledAtMs = this.settledAtMs;
  }

  /** A call of this box failed. */
  recordFailure(): void {
    this.isReading = false;
  }

  /** A peer that follows the platform told all that changed; entries that vanish may have lapsed for so long. */
  recordPeerUpdate(address: string, unsettledMs: number, nowMs: number): void {
    this.recordPeerConfirmation(address, { doubtMs: unsettledMs, saidAgoMs: 0 }, nowMs);
    this.reports.set(address, { confirmedAtMs: nowMs, toldAtMs: nowMs });
    this.toldSettledAtMs = Math.max(this.toldSettledAtMs, nowMs + unsettledMs);
  }

  /** A peer that is in touch with the platform has nothing newer than this box. */
  recordPeerConfirmation(address: string, report: PlatformReport, nowMs: number): void {
    const confirmedAtMs = nowMs - report.saidAgoMs;
    if (!holds(confirmedAtMs, nowMs)) return;
    this.noteReturn(nowMs);
    const toldAtMs = this.reports.get(address)?.toldAtMs ?? -Infinity;
    this.reports.set(address, { confirmedAtMs, toldAtMs });
    // A report without a doubt ends none and begins none: one from second hand is older than its arrival.
    if (report.doubtMs > 0) this.settledAtMs = Math.max(this.settledAtMs, nowMs + report.doubtMs);
  }

  /** A peer is not in touch with the platform any more: in an outage of the platform all say so within half a second. */
  removePeerReport(address: string): void {
    this.reports.delete(address);
  }

  /** Forgets reports that no longer hold. Runs once a tick. */
  tick(nowMs: number): void {
    for (const [address, report] of this.reports)
      if (!holds(report.confirmedAtMs, nowMs)) this.reports.delete(address);
  }

  /** By whom this box knows what the platform publishes. */
  readSource(nowMs: number): ConnectivitySource {
    if (this.isReading) return 'own';
    return holds(this.readNewest('confirmedAtMs'), nowMs) ? 'peers' : 'none';
  }

  /** Whether every change reaches this box by itself: it need not ask for the list. */
  isReceivingUpdates(nowMs: number): boolean {
    return this.isReading || holds(this.readNewest('toldAtMs'), nowMs);
  }

  /** For how much longer an entry that vanishes may only have lapsed; infinite while nobody reads the platform. */
  readGracePeriodMs(nowMs: number): number {
    const leftMs = Math.max(0, this.settledAtMs - nowMs);
    switch (this.readSource(nowMs)) {
      case 'own':
        return leftMs;
      case 'peers':
        // What peers said before the doubt ended may lack who has come back since: the next report settles it.
        return this.readNewest('confirmedAtMs') >= this.settledAtMs ? 0 : Math.max(1, leftMs);
      case 'none':
        return Infinity;
    }
  }

  /**
   * What this box can tell peers; undefined if it neither reads the platform nor is told all by a box that does. Reports
   * of other peers are not passed on, or boxes that are cut off would confirm each other. A box that was told passes on its
   * teller's doubt, not that of its own isolation, or each box that is back would spread it to all.
   *
   * @example new PlatformContact().readReport(0) // undefined
   */
  createReport(nowMs: number): PlatformReport | undefined {
    if (this.isReading && nowMs - this.answeredAtMs < ANSWER_LIFE_MS) {
      return { doubtMs: readLeftMs(this.ownSettledAtMs, nowMs), saidAgoMs: 0 };
    }
    const toldAtMs = this.readNewest('toldAtMs');
    if (!holds(toldAtMs, nowMs)) return undefined;
    return {
      doubtMs: readLeftMs(this.toldSettledAtMs, nowMs),
      saidAgoMs: Math.ceil(nowMs - toldAtMs),
    };
  }

  private readNewest(kind: keyof PeerReport): number {
    return Math.max(-Infinity, ...[...this.reports.values()].map((report) => report[kind]));
  }

  /** Whoever was in touch all the time saw no outage, whoever of them answers now. */
  private noteReturn(nowMs: number): void {
    if (this.readSource(nowMs) === 'none') this.settledAtMs = Math.max(this.settledAtMs, nowMs + LAPSE_MS);
  }
}

function holds(saidAtMs: number, nowMs: number): boolean {
  return nowMs - saidAtMs < REPORT_LIFE_MS;
}

/** Whole milliseconds until a time: they travel in fewer bytes. */
function readLeftMs(untilMs: number, nowMs: number): number {
  return Math.max(0, Math.ceil(untilMs - nowMs));
}
