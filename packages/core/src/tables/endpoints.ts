/** The endpoints table: the listed record, health and load of every endpoint. */
import type { BoxId, EndpointId, EndpointRecord, TeamName } from '../records.js';
import type { CallRow } from './calls.js';

/** One endpoint. Loads and counts are numbers of requests. */
export interface EndpointRow {
  readonly id: EndpointId;
  record: EndpointRecord;
  /** Whether the current endpoint list contains it. */
  listed: boolean;
  /** When it was last removed from the list. */
  absentSinceMs: number;
  /** How often it was listed again soon after its removal. */
  flaps: number;
  /** It gets no work before this time. */
  trustedFromMs: number;
  /** Start of its slow start. */
  rampFromMs: number;
  /** Whether its last load report announced that it is leaving. */
  reportedLeaving: boolean;

  /** The box that owns it, in this box's view: all calls to it go through that box. */
  ownerId: BoxId | undefined;
  /** Calls from this box that are running there. */
  inFlight: number;
  /** The same, by team. */
  readonly runningByTeam: Map<TeamName, number>;
  /** Calls that this box has queued for it, by team, in starting order. */
  readonly waitingByTeam: Map<TeamName, CallRow[]>;
  /** Sum over waitingByTeam. */
  waiting: number;
  /** Load in its own reports beyond this box's calls, such as calls of a previous owner. */
  foreignLoad: number;
  /** Most calls this box had running there since the previous report; used because reports are stale. */
  peakInFlight: number;
  /** Load in its last report, and this box's own count at that time; used by policies without owners. */
  reportedInFlight: number;
  inFlightAtReport: number;

  /** Load that its owner last reported; negative if it accepts no work. */
  ownerReportedLoad: number;
  /** Requests that this box has assigned to it since that report. */
  placedSinceReport: number;

  /** Failures since the last success or ejection. */
  consecutiveFailures: number;
  ejections: number;
  ejectedUntilMs: number;
  /** Moving average of its call durations. */
  meanServiceMs: number;
}

/** Assumed duration of a call before the first one has ended. */
const INITIAL_SERVICE_MS = 1_000;

/**
 * Creates the row of a newly listed endpoint. The caller sets `trustedFromMs` and `rampFromMs` if it has to wait or to
 * start slowly.
 *
 * @example createEndpointRow(record)
 */
export function createEndpointRow(record: EndpointRecord): EndpointRow {
  return {
    id: record.id,
    record,
    listed: true,
    absentSinceMs: -Infinity,
    flaps: 0,
    trustedFromMs: -Infinity,
    rampFromMs: -Infinity,
    reportedLeaving: false,
    ownerId: undefined,
    inFlight: 0,
    runningByTeam: new Map(),
    waitingByTeam: new Map(),
    waiting: 0,
    foreignLoad: 0,
    peakInFlight: 0,
    reportedInFlight: 0,
    inFlightAtReport: 0,
    ownerReportedLoad: 0,
    placedSinceReport: 0,
    consecutiveFailures: 0,
    ejections: 0,
    ejectedUntilMs: -Infinity,
    meanServiceMs: INITIAL_SERVICE_MS,
  };
}
