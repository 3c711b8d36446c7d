/**
 * Tracks up to when this box's list is proven to be that of the platform, by its own calls or by reports of peers that
 * read the platform. That no call has failed yet proves nothing: a call that waits for a change and one that has gone
 * silent look the same. So each decision states how old the proof on which it rests may be:
 *
 * | Decision                                             | Oldest proof                                             |
 * | ---------------------------------------------------- | -------------------------------------------------------- |
 * | origin of a stream that is taken up                  | from after the request arrived (`listProofs.ts`)         |
 * | an entry that disappears has been removed            | `lapseMs`, two heartbeats of its endpoint                |
 * | report to peers                                      | `PEER_REPORT_TTL_MS`, with its age                       |
 * | leaving endpoints, evacuations, configuration, keys: | a share of the time within which changes have to be in   |
 * | look for changes without waiting for a call to end   | force (`RENEWAL_SHARE`, `UPDATE_SHARE`)                  |
 *
 * Entries of live endpoints expire during an outage of the platform, so an entry that disappears then does not prove
 * that its endpoint has left. Failed calls of this box do not prove an outage: its own link may be down while peers
 * keep reading the platform and relaying changes. If such a cut counted as an outage, endpoints that have left would
 * stay in use for as long as it lasts. Nor does a time without contact: when it ends, what peers report decides whether
 * the platform was away meanwhile (`answeringPeriod.ts`).
 */
import { AnsweringPeriod } from './answeringPeriod.js';

/** Entries of live endpoints are listed again within about two seconds of the platform's return. */
const GRACE_PERIOD_MS = 2_000;
/**
 * Time to live of a peer's report. Peers report at least once a second. An outage shorter than this lets no entry
 * lapse, since an entry expires only after three missed heartbeats of its endpoint, 1.2 s apart.
 */
const PEER_REPORT_TTL_MS = 2_000;

/** Report of a box to a peer about its connection to the platform. It travels in frames under these field names. */
export interface PlatformReport {
  /** Remaining grace period, in which an entry that disappears may only have lapsed; 0 after it. */
  readonly doubtMs: number;
  /** Age of the proof: time since the sender's own call showed its list to be whole, or since a watcher last updated it. */
  readonly saidAgoMs: number;
  /**
   * For how long before that proof the platform had answered without a pause in which an entry could lapse. Boxes of versions
   * without it send `doubtMs` alone.
   */
  readonly answeringForMs?: number | undefined;
}

/** Times of the last reports of a peer. */
interface PeerReport {
  /** When it last had nothing newer than this box. */
  readonly confirmedAtMs: number;
  /** When it last sent all changes. */
  readonly updatedAtMs: number;
}

/**
 * How a box learns what the platform publishes: by its own calls, from peers that read the platform, or not at all.
 */
export type ConnectivitySource = 'own' | 'peers' | 'none';

/** Connectivity of one box to the platform. Times are in milliseconds of one clock. */
export class PlatformConnectivity {
  /** Whether the last call of this box succeeded. */
  private isReading = false;
  /** When the platform last had nothing that this box lacks, by its own calls. */
  private ownProvenAtMs = -Infinity;
  /** Unexpired reports of peers, by address. */
  private readonly reports = new Map<string, PeerReport>();
  /** When the platform is known to have answered; a grace period follows its start. */
  private readonly period: AnsweringPeriod;
  /** Whether a call of this box has failed since the list was last proven. */
  private hasFailed = false;
  /** End of the grace period after a restore, or as reported by boxes that know no more than that. */
  private otherGraceEndsAtMs = 0;
  /** End of the grace period as this box observed it while reading the platform; reported to peers. */
  private ownGraceEndsAtMs = 0;
  /**
   * End of the grace period as reported by watchers; passed on while they read the platform and this box does not.
   */
  private reportedGraceEndsAtMs = 0;

  /** @param entryHeartbeatMs interval at which endpoints write their entries */
  constructor(entryHeartbeatMs?: number) {
    this.period = new AnsweringPeriod(entryHeartbeatMs);
  }

  /**
   * Records that the platform responded to a call of this box.
   *
   * @param provenAtMs time for which the response shows what the platform held: the call was sent no later
   */
  recordResponse(nowMs: number, provenAtMs = nowMs): void {
    this.startGracePeriodAfterOutage(nowMs);
    // A box that just started has no knowledge of earlier outages: it does not report its first grace period to
    // peers.
    if (!this.isOwnCurrent(nowMs) && this.ownProvenAtMs !== -Infinity)
      this.ownGraceEndsAtMs = this.graceEndsAtMs;
    this.isReading = true;
    this.hasFailed = false;
    this.ownProvenAtMs = Math.max(this.ownProvenAtMs, provenAtMs);
    this.period.extend(provenAtMs);
  }

  /**
   * Extends the grace period after a restore from a backup, so that endpoints missing from the backup are kept until
   * they have written their entries again.
   *
   * @param isOwn whether this box detected the restore itself and reports it to its peers
   */
  handleRestore(isOwn: boolean, nowMs: number): void {
    this.extendGracePeriod(nowMs + GRACE_PERIOD_MS);
    if (isOwn) this.ownGraceEndsAtMs = this.graceEndsAtMs;
  }

  /** Records that a call of this box failed. */
  recordFailure(): void {
    this.isReading = false;
    this.hasFailed = true;
  }

  /** Records that a watcher sent all changes, the grace period that it reported, and for how long the platform has answered. */
  recordPeerUpdate(address: string, gracePeriodMs: number, nowMs: number, answeringForMs?: number): void {
    this.recordPeerConfirmation(address, { doubtMs: gracePeriodMs, saidAgoMs: 0, answeringForMs }, nowMs);
    this.reports.set(address, { confirmedAtMs: nowMs, updatedAtMs: nowMs });
    this.reportedGraceEndsAtMs = Math.max(this.reportedGraceEndsAtMs, nowMs + gracePeriodMs);
  }

  /** Records that a peer connected to the platform has nothing newer than this box. */
  recordPeerConfirmation(address: string, report: PlatformReport, nowMs: number): void {
    const confirmedAtMs = nowMs - report.saidAgoMs;
    if (!isUnexpired(confirmedAtMs, nowMs)) return;
    this.startGracePeriodAfterOutage(nowMs);
    this.hasFailed = false;
    const updatedAtMs = this.reports.get(address)?.updatedAtMs ?? -Infinity;
    this.reports.set(address, { confirmedAtMs, updatedAtMs });
    this.period.extend(confirmedAtMs);
    const { answeringForMs, doubtMs } = report;
    if (answeringForMs !== undefined) this.period.join(confirmedAtMs - answeringForMs, confirmedAtMs);
    // A report without a grace period neither ends nor starts one: a relayed report is older than its arrival.
    else if (doubtMs > 0) this.extendGracePeriod(nowMs + doubtMs);
  }

  /**
   * Removes the report of a peer that has lost the platform. In an outage of the platform all peers report the loss
   * within half a second.
   */
  removePeerReport(address: string): void {
    this.reports.delete(address);
  }

  /** Removes expired reports. Runs once a tick. */
  tick(nowMs: number): void {
    for (const [address, report] of this.reports)
      if (!isUnexpired(report.confirmedAtMs, nowMs)) this.reports.delete(address);
  }

  /** How this box learns what the platform publishes. */
  readSource(nowMs: number): ConnectivitySource {
    if (this.isOwnCurrent(nowMs)) return 'own';
    return isUnexpired(this.readNewest('confirmedAtMs'), nowMs) ? 'peers' : 'none';
  }

  /**
   * Whether every change reaches this box on its own, so that it need not request the list.
   *
   * @param maxAgeMs oldest own proof by which that holds
   */
  isReceivingUpdates(nowMs: number, maxAgeMs: number): boolean {
    const isOwn = this.isReading && nowMs - this.ownProvenAtMs < maxAgeMs;
    return isOwn || isUnexpired(this.readNewest('updatedAtMs'), nowMs);
  }

  /** Shortest pause of the platform in which the entry of a live endpoint can lapse. */
  get lapseMs(): number {
    return this.period.lapseMs;
  }

  /** When the list of this box was last proven to be that of the platform, by its own calls or by peers. */
  get provenAtMs(): number {
    return Math.max(this.ownProvenAtMs, this.readNewest('confirmedAtMs'));
  }

  /**
   * Remaining grace period, in which an entry that disappears may only have lapsed; infinite while nobody reads the
   * platform.
   */
  readGracePeriodMs(nowMs: number): number {
    const remainingMs = Math.max(0, this.graceEndsAtMs - nowMs);
    switch (this.readSource(nowMs)) {
      case 'own':
        return remainingMs;
      case 'peers':
        // A report from before the end of the grace period may lack entries that were written since: the next report
        // ends it.
        return this.readNewest('confirmedAtMs') >= this.graceEndsAtMs ? 0 : Math.max(1, remainingMs);
      case 'none':
        return Infinity;
    }
  }

  /**
   * Whether the list was proven after the grace period, so that entries that are still missing are gone. At its end a box that
   * reads the platform may pause between two calls, and miss an entry that has just come back.
   */
  get isProvenAfterGracePeriod(): boolean {
    return this.provenAtMs >= this.graceEndsAtMs;
  }

  /**
   * Report of this box for its peers; undefined if it neither reads the platform nor gets all changes from a watcher.
   * Confirmations of other peers are not passed on, or boxes that are cut off would confirm each other. A box that is
   * updated by a watcher passes on the grace period of that watcher. Its own one, caused by its isolation, would
   * otherwise spread to all boxes each time a box reconnects.
   *
   * @example new PlatformConnectivity().createReport(0) // undefined
   */
  createReport(nowMs: number): PlatformReport | undefined {
    if (this.isReading && isUnexpired(this.ownProvenAtMs, nowMs)) {
      return {
        doubtMs: readRemainingMs(Math.min(this.ownGraceEndsAtMs, this.graceEndsAtMs), nowMs),
        saidAgoMs: Math.max(0, Math.ceil(nowMs - this.ownProvenAtMs)),
        answeringForMs: this.period.readLengthMs(this.ownProvenAtMs),
      };
    }
    const updatedAtMs = this.readNewest('updatedAtMs');
    if (!isUnexpired(updatedAtMs, nowMs)) return undefined;
    return {
      doubtMs: readRemainingMs(this.reportedGraceEndsAtMs, nowMs),
      saidAgoMs: Math.ceil(nowMs - updatedAtMs),
      answeringForMs: this.period.readLengthMs(updatedAtMs),
    };
  }

  private isOwnCurrent(nowMs: number): boolean {
    return this.isReading && nowMs - this.ownProvenAtMs < this.period.lapseMs;
  }

  private readNewest(kind: keyof PeerReport): number {
    return Math.max(-Infinity, ...[...this.reports.values()].map((report) => report[kind]));
  }

  /** End of the grace period: until then an entry that disappears may only have lapsed. */
  private get graceEndsAtMs(): number {
    const { sinceMs } = this.period;
    return Math.max(this.otherGraceEndsAtMs, Number.isFinite(sinceMs) ? sinceMs + GRACE_PERIOD_MS : 0);
  }

  private extendGracePeriod(untilMs: number): void {
    this.otherGraceEndsAtMs = Math.max(this.otherGraceEndsAtMs, untilMs);
  }

  /**
   * Starts a grace period if the platform may have been away until now: calls of this box failed and no peer read it, or
   * there was no proof for so long that entries can have lapsed. A peer that has read it all along ends the period.
   */
  private startGracePeriodAfterOutage(nowMs: number): void {
    if (this.readSource(nowMs) !== 'none') return;
    if (this.hasFailed || this.period.isInterrupted(nowMs)) this.period.restart(nowMs);
  }
}

function isUnexpired(reportedAtMs: number, nowMs: number): boolean {
  return nowMs - reportedAtMs < PEER_REPORT_TTL_MS;
}

/** Whole milliseconds until a time: integers take fewer bytes in messages. */
function readRemainingMs(untilMs: number, nowMs: number): number {
  return Math.max(0, Math.ceil(untilMs - nowMs));
}
