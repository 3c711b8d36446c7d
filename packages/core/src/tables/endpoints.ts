/** The endpoints table: every back end, what the list says of it and what is known of its load. */
import type { BoxId, EndpointId, EndpointRecord, TeamName } from '../records.js';
import type { CallRow } from './calls.js';

/** One back end. Counts are requests. */
export interface EndpointRow {
  readonly id: EndpointId;
  record: EndpointRecord;
  /** False once the list no longer names it. */
  listed: boolean;
  /** When it was last taken off the list. */
  absentSinceMs: number;
  /** Times it came back soon after it had left. */
  flaps: number;
  /** No work before this time. */
  trustedFromMs: number;
  /** Start of its ramp. */
  rampFromMs: number;
  /** The endpoint itself said that it is leaving. */
  reportedLeaving: boolean;

  /** The box that speaks to it, in this box's view. */
  ownerId: BoxId | undefined;
  /** Calls this box has running there. */
  inFlight: number;
  /** The same, by team. */
  readonly runningByTeam: Map<TeamName, number>;
  /** Calls this box holds back for it, by team, in the order they are to start. */
  readonly waitingByTeam: Map<TeamName, CallRow[]>;
  /** Sum over waitingByTeam. */
  waiting: number;
  /** Load that its own reports show beyond this box's calls, such as a previous steward's. */
  foreignLoad: number;
  /** Most calls this box had there since the report before last; reports are late. */
  peakInFlight: number;
  /** Last report and this box's own count when it came; used by policies without stewards. */
  reportedInFlight: number;
  inFlightAtReport: number;

  /** Load as its steward last said; negative when it takes no work. */
  ownerReportedLoad: number;
  /** Requests this box sent towards it since the steward said so. */
  placedSinceReport: number;

  /** Failures in a row. */
  consecutiveFailures: number;
  ejections: number;
  ejectedUntilMs: number;
  /** Moving average of how long a call takes there. */
  meanServiceMs: number;
}

/** Assumed length of a call before any was seen. */
const INITIAL_SERVICE_MS = 1_000;

/**
 * Creates the row of a newly listed endpoint. The caller decides when it is trusted and ramps.
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
