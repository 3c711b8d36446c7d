/**
 * Sends the other boxes reports of crashed runs, of requests in quarantine and of requests that were cleared by a complete
 * response, since a request that crashes its endpoints may arrive at any box. Nothing is sent while no endpoint crashes.
 *
 * In a full mesh each box sends its reports to all others. In a larger fleet it sends them to its hall, and the first two
 * boxes of the hall relay what is new to them, from their hall to the others and from the others to their hall. A box that
 * was down or cut off gets the reports that it missed in a snapshot on the link that comes up afterwards.
 */
import { findHallPosition } from '../membership/hallPosition.js';
import type { CrashedRunReport, CrashReports, QuarantinedRequest } from '../peers/crashFrames.js';
import type { Heartbeat } from '../peers/peerFrames.js';
import type { PeerMesh } from '../peers/peerMesh.js';
import type { BlamedRequest } from './blamedRequest.js';
import type { CrashedRun } from './crashedRuns.js';
import type { Quarantine } from './quarantine.js';
import { QUARANTINE_MS } from './quarantine.js';
import type { QuarantineScope } from './quarantineScope.js';
import { UNLIMITED_SCOPE } from './quarantineScope.js';
import { ReporterClocks } from './reporterClocks.js';

/** Boxes of a hall that relay reports between halls; the second makes up for frames that the first loses. */
const RELAYS_PER_HALL = 2;
/** Requests in a snapshot: with three runs each some ten kilobytes, and only after crashes. */
const MAX_SNAPSHOT_REQUESTS = 64;
/** Reports in one frame; a crash of an engine with all its slots in use causes fewer at one box. */
const MAX_REPORTS_PER_FRAME = 256;
/** The number that identifies an incarnation of a box is drawn at random below this. */
const MAX_REPORTER = 2 ** 32;
/** Hops of a report that a relay of the reporter's hall sent to the other halls. */
const HOPS_TO_OTHER_HALLS = 1;
/** Hops of a report that a relay of another hall sent to the rest of that hall; it goes no further. */
const HOPS_WITHIN_OTHER_HALLS = 2;

/** Settings, dependencies and callbacks of the relay. */
export interface QuarantineRelayOptions {
  readonly mesh: Pick<PeerMesh, 'address' | 'isFullMesh' | 'listReachable' | 'sendToEach'>;
  readonly quarantine: Quarantine;
  readonly hall: string;
  /** Rank of an address, by which all boxes agree on the relays of a hall. */
  readonly rank: (address: string) => number;
  readonly now: () => number;
  /** Between 0 and 1. */
  readonly random: () => number;
  /** Called for each crash that another box reports. */
  readonly onReport?: (delays: CrashReportDelays) => void;
}

/** How long the report of a crash took, and where the time went. */
export interface CrashReportDelays {
  /** Fingerprint of the request. */
  readonly fingerprint: string;
  /** Identifies the incarnation of the box that observed the crash. */
  readonly reporter: number;
  /** Boxes that relayed the report. */
  readonly hops: number;
  /** From the crash until the last box on the way sent the report, as that box states it. */
  readonly heldMs: number;
  /** From there to this box, over the fastest report of the same reporter so far; 0 for its first. */
  readonly delayMs: number;
  /** Time since the last tick of this box: it explains part of the delay if it is longer than the tick interval. */
  readonly loopMs: number;
}

/** A crashed run, and the fingerprints that it blames: of the request itself, and of parts of its prompt. */
interface RequestCrash {
  readonly blamed: readonly string[];
  readonly run: CrashedRun;
}

/** Reports that are sent together; their ages are computed when they are sent. */
interface ReportBatch {
  readonly crashes: readonly RequestCrash[];
  /** Fingerprints of requests in quarantine. */
  readonly quarantined: readonly string[];
  /** Fingerprints of requests that got a complete response. */
  readonly cleared: readonly string[];
}

/** Reports sent on a new link, as part of the first heartbeat. */
export type CrashSnapshot = Pick<Heartbeat, 'crashes' | 'condemned'>;

/** Shares the quarantine records of one box with the other boxes. */
export class QuarantineRelay {
  private crashes: RequestCrash[] = [];
  private quarantined: string[] = [];
  private cleared: string[] = [];
  private readonly reporter: number;
  private readonly clocks = new ReporterClocks();
  private tickedAtMs = 0;

  constructor(private readonly options: QuarantineRelayOptions) {
    this.reporter = Math.floor(options.random() * MAX_REPORTER);
  }

  /**
   * Records and reports a run at this box that ended when its endpoint crashed.
   *
   * @param fingerprint of the whole request
   * @param request all of its fingerprints; undefined if it has no prompt
   */
  recordCrash(
    fingerprint: string,
    run: Pick<CrashedRun, 'endpointTag' | 'sentAtMs' | 'endedAtMs'>,
    request?: BlamedRequest,
  ): void {
    const { reporter } = this;
    const crashed: CrashedRun = { ...run, reporter, localEndAtMs: run.endedAtMs, isLocal: true, request };
    const crash = this.keepNew({ blamed: request?.fingerprints ?? [fingerprint], run: crashed });
    if (crash.blamed.length > 0) this.crashes.push(crash);
  }

  /** Clears a request that got a complete response at this box, and reports it. */
  recordSuccess(fingerprint: string): void {
    if (this.options.quarantine.recordSuccess(fingerprint)) this.cleared.push(fingerprint);
  }

  /** Runs once a tick: makes due decisions, and sends what was recorded since the last tick in one frame. */
  tick(): void {
    this.tickedAtMs = this.options.now();
    const quarantined = this.options.quarantine.tick();
    this.quarantined.push(...quarantined.filter((fingerprint) => this.mustReportQuarantine(fingerprint)));
    if (this.crashes.length + this.quarantined.length + this.cleared.length === 0) return;
    const batch: ReportBatch = {
      crashes: this.crashes.splice(0).slice(-MAX_REPORTS_PER_FRAME),
      quarantined: this.quarantined.splice(0),
      cleared: this.cleared.splice(0),
    };
    const { mesh, hall } = this.options;
    this.sendToHalls(0, batch, (other) => mesh.isFullMesh || other === hall);
    if (this.mustRelay()) this.relay(0, batch);
  }

  /** Records the reports of another box; relays those that are new here, if this box is a relay of its hall. */
  handleCrashReports({ hops, crashes, condemned, cleared }: CrashReports): void {
    const { quarantine, now } = this.options;
    const nowMs = now();
    this.reportDelays(crashes, hops, nowMs);
    const received = crashes.map((report) => readReport(report, nowMs));
    const quarantined = condemned.filter((report) => this.adoptQuarantine(report, nowMs));
    const batch: ReportBatch = {
      crashes: received.map((crash) => this.keepNew(crash)).filter(({ blamed }) => blamed.length > 0),
      quarantined: quarantined.map(({ content }) => content),
      cleared: cleared.filter((fingerprint) => quarantine.recordSuccess(fingerprint)),
    };
    const isNew = batch.crashes.length + batch.quarantined.length + batch.cleared.length > 0;
    if (isNew && this.mustRelay()) this.relay(hops, batch);
  }

  /** Records a crash; returns it with those fingerprints only for which it was not known. */
  private keepNew({ blamed, run }: RequestCrash): RequestCrash {
    const { quarantine } = this.options;
    return { blamed: blamed.filter((fingerprint) => quarantine.recordCrash(fingerprint, run)), run };
  }

  /** Adopts a quarantine of another box, or contradicts it if an endpoint has answered such a request since. */
  private adoptQuarantine(report: QuarantinedRequest, nowMs: number): boolean {
    const { quarantine } = this.options;
    const { content, endedAgoMs } = report;
    const lastCrashAtMs = nowMs - endedAgoMs;
    if (quarantine.wasClearedSince(content, lastCrashAtMs)) {
      this.cleared.push(content);
      return false;
    }
    return quarantine.recordRemoteQuarantine(content, lastCrashAtMs, readScope(report));
  }

  /** Passes the delays of the crashes reported in a frame to `onReport`. */
  private reportDelays(crashes: readonly CrashedRunReport[], hops: number, nowMs: number): void {
    for (const report of crashes) {
      const { content, witness, endedAgoMs } = report;
      const delayMs = this.clocks.measureDelay(witness, report.endedAtMs + endedAgoMs, nowMs);
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

  /** Records the snapshot that the first heartbeat on a new link carries. */
  handleHeartbeat({ hall, crashes = [], condemned = [] }: Pick<Heartbeat, 'hall'> & CrashSnapshot): void {
    if (crashes.length + condemned.length === 0) return;
    const hops = hall === this.options.hall ? 0 : HOPS_TO_OTHER_HALLS;
    this.handleCrashReports({ type: 'crashNews', hops, crashes, condemned, cleared: [] });
  }

  /** Creates the snapshot for a box on a new link; in a larger fleet only the relays send one. */
  createSnapshot(): CrashSnapshot {
    const { quarantine, mesh } = this.options;
    if (quarantine.isEmpty || (!mesh.isFullMesh && !this.mustRelay())) return {};
    const records = quarantine.listBySeverity(MAX_SNAPSHOT_REQUESTS);
    return {
      crashes: records.flatMap(([fingerprint, { runs }]) =>
        runs.map((run) => this.toReport({ blamed: [fingerprint], run })),
      ),
      condemned: this.listQuarantined(records.map(([fingerprint]) => fingerprint)),
    };
  }

  /**
   * All boxes decide by the same reports. In a larger fleet only the relays report their decisions, and boxes that observed
   * one of the crashes: such a box may be the only one to know that a run of its own started after a crash whose report
   * arrived late.
   */
  private mustReportQuarantine(fingerprint: string): boolean {
    const { mesh, quarantine } = this.options;
    return mesh.isFullMesh || quarantine.hasLocalCrash(fingerprint) || this.mustRelay();
  }

  /** Relays reports from the hall of the reporter to the other halls, and there to all boxes. */
  private relay(hops: number, batch: ReportBatch): void {
    if (hops >= HOPS_WITHIN_OTHER_HALLS) return;
    const isToOwnHall = hops === HOPS_TO_OTHER_HALLS;
    this.sendToHalls(hops + 1, batch, (hall) => (hall === this.options.hall) === isToOwnHall);
  }

  private sendToHalls(hops: number, batch: ReportBatch, isTarget: (hall: string) => boolean): void {
    const { mesh } = this.options;
    const frame: CrashReports = {
      type: 'crashNews',
      hops,
      crashes: batch.crashes.map((crash) => this.toReport(crash)),
      condemned: this.listQuarantined(batch.quarantined),
      cleared: [...batch.cleared],
    };
    const targets = mesh.listReachable().filter(({ hall }) => isTarget(hall));
    mesh.sendToEach(
      targets.map(({ address }) => address),
      frame,
    );
  }

  private toReport({ blamed, run }: RequestCrash): CrashedRunReport {
    const { reporter, localEndAtMs, isLocal: _isLocal, request, ...times } = run;
    return {
      content: blamed[0] ?? '',
      ...times,
      witness: reporter,
      endedAgoMs: Math.max(0, this.options.now() - localEndAtMs),
      ...(request !== undefined && {
        caller: request.caller,
        fingerprints: [...request.fingerprints],
        blamed: blamed.map((fingerprint) => request.fingerprints.indexOf(fingerprint)),
      }),
    };
  }

  /** The requests among these that are in quarantine, as frames carry them. */
  private listQuarantined(fingerprints: readonly string[]): QuarantinedRequest[] {
    const { quarantine } = this.options;
    return fingerprints
      .map((fingerprint) => ({ fingerprint, remainingMs: quarantine.readRemainingMs(fingerprint) }))
      .filter(({ remainingMs }) => remainingMs > 0)
      .map(({ fingerprint, remainingMs }) => ({
        content: fingerprint,
        endedAgoMs: QUARANTINE_MS - remainingMs,
        ...this.describeScope(fingerprint),
      }));
  }

  /** The scope of a quarantine as frames carry it; nothing if it is unlimited. */
  private describeScope(fingerprint: string): Pick<QuarantinedRequest, 'together' | 'callers'> {
    const scope = this.options.quarantine.findQuarantineScope(fingerprint) ?? UNLIMITED_SCOPE;
    return {
      ...(scope.together.length > 0 && { together: [...scope.together] }),
      ...(scope.callers !== undefined && { callers: [...scope.callers] }),
    };
  }

  /** Whether this box relays reports between halls, as one of the first of its hall. In a full mesh none does. */
  private mustRelay(): boolean {
    const { mesh, hall, rank } = this.options;
    return !mesh.isFullMesh && findHallPosition(mesh, hall, rank) < RELAYS_PER_HALL;
  }
}

function readReport(report: CrashedRunReport, nowMs: number): RequestCrash {
  const { content, witness, endedAgoMs, caller = '', fingerprints, blamed, ...times } = report;
  const request = fingerprints === undefined ? undefined : { caller, fingerprints };
  const named = blamed?.map((position) => fingerprints?.[position]).filter((name) => name !== undefined);
  const run: CrashedRun = { ...times, reporter: witness, localEndAtMs: nowMs - endedAgoMs, request };
  return { blamed: named ?? [content], run };
}

function readScope({ together = [], callers }: QuarantinedRequest): QuarantineScope {
  return { together, callers };
}
