/**
 * Metrics, served as text on the metrics address. Only the required parts of prom-client are loaded: the rest (push
 * gateways, clusters) takes a fifth of the start-up time of a box.
 */
import type { Counter as CounterType, Gauge as GaugeType } from 'prom-client';
import Counter from 'prom-client/lib/counter.js';
import Gauge from 'prom-client/lib/gauge.js';
import Histogram from 'prom-client/lib/histogram.js';
import Registry from 'prom-client/lib/registry.js';

/** Buckets of latencies in milliseconds: from one network round trip to the longest deadlines. */
const LATENCY_BUCKETS_MS = [5, 10, 25, 50, 100, 200, 300, 400, 600, 1_000, 2_000, 5_000, 10_000];

/** The metrics of the router. */
export class RouterMetrics {
  private readonly registry = new Registry();
  /** Requests accepted from callers, by service. */
  readonly requests = this.counter('requests', 'Requests taken from callers', ['service']);
  /** Completed requests by outcome: `answered`, or a result code. */
  readonly outcomes = this.counter('outcomes', 'Requests by outcome', ['outcome']);
  /** Requests that were in progress when the box exited, by how far they had come. */
  readonly requestsCutOff = this.counter('requests_cut_off', 'Requests cut off by the exit', ['stage']);
  /** Connections of callers closed between two requests by a graceful shutdown. */
  readonly idleCallersClosed = this.counter('idle_callers_closed', 'Idle callers closed by a shutdown', []);
  /** Connections of callers that are open. */
  readonly callerConnections = this.gauge('caller_connections', 'Open connections of callers');
  /** What callers hold: bytes in buffers, and the estimated size of objects. */
  readonly callerBytes = new Gauge({
    name: 'hazelwalk_caller_bytes',
    help: 'Memory that the box holds for callers, in bytes',
    labelNames: ['kind'] as const,
    registers: [this.registry],
  });
  /** Bodies of requests that wait until others have given memory back. */
  readonly waitingBodies = this.gauge('waiting_bodies', 'Bodies that wait for memory');
  /** Connections of callers that had to give way, by what was short. */
  readonly callerEvictions = this.counter('caller_evictions', 'Callers that gave way', ['reason']);
  /** Retries by reason. */
  readonly retries = this.counter('retries', 'Requests sent again', ['reason']);
  /** Denied retries by reason. */
  readonly retriesDenied = this.counter('retries_denied', 'Requests not sent again', ['reason']);
  /** Streams that went on at an endpoint, resumed by this box or taken up by their caller. */
  readonly streamsContinued = this.counter('streams_continued', 'Streams sent on to an endpoint', ['by']);
  /** Streams that callers took up at this box, by how the version that began them was found. */
  readonly streamLookups = this.counter('stream_lookups', 'Streams taken up by callers', ['result']);
  /** Streams whose first version this box knows, its own and those that other boxes reported. */
  readonly knownStreams = this.gauge('known_streams', 'Streams whose software version is known here');
  /** Attempts by how they ended. */
  readonly attempts = this.counter('attempts', 'Attempts at endpoints', ['end']);
  /** Placements by how the endpoint was chosen. */
  readonly placements = this.counter('placements', 'Choices of an endpoint', ['way']);
  /** New connections to endpoints. */
  readonly connections = this.counter('endpoint_connections', 'New connections to endpoints', []);
  /** Times that the idle connections to an endpoint were closed because a kept-alive connection to it was silent. */
  readonly retiredPools = this.counter('retired_pools', 'Idle connections closed as doubtful', []);
  /** Changes of the health of endpoints. */
  readonly healthChanges = this.counter('endpoint_standings', 'Changes of standing', ['change']);
  /** Endpoints to which this box cannot connect. */
  readonly unreachableEndpoints = this.gauge(
    'unreachable_endpoints',
    'Endpoints to which this box cannot connect',
  );
  /** Endpoints that this box reaches only through other boxes. */
  readonly tunnelledEndpoints = this.gauge(
    'tunnelled_endpoints',
    'Endpoints that are reached only through other boxes',
  );
  /** Changes of the path to an endpoint: tunnelled, direct, lost. */
  readonly pathChanges = this.counter('endpoint_path_changes', 'Changes of the path to an endpoint', [
    'change',
  ]);
  /** Requests of this box for tunnels through others, by result. */
  readonly tunnelsRequested = this.counter('tunnels_requested', 'Tunnels requested of other boxes', [
    'result',
  ]);
  /** Tunnels that this box serves for others at the moment. */
  readonly tunnelsServed = this.gauge('tunnels_served', 'Tunnels that are served for other boxes');
  /** Bytes in tunnels served for others, counted when a tunnel ends. */
  readonly tunnelBytes = this.counter('tunnel_bytes', 'Bytes in tunnels served for other boxes', [
    'direction',
  ]);
  /** Failures after which an endpoint stayed in use, since the others of its service had no room. */
  readonly ejectionsWithheld = this.counter(
    'ejections_withheld',
    'Failures that ejected no endpoint for lack of room',
    [],
  );
  /** Announcements in response headers that changed the recorded state of an endpoint, by type. */
  readonly endpointNotices = this.counter('endpoint_notices', 'News of endpoints in their own answers', [
    'notice',
  ]);
  /** Calls to the platform by outcome. */
  readonly platformCalls = this.counter('platform_calls', 'Calls to the platform', ['outcome']);
  /** Era most recently reported by the platform; increases on each restore from a backup. */
  readonly platformEra = this.gauge('platform_era', 'Era of the platform, as its answers name it');
  /** Heartbeats and other frames received from peers, by type. */
  readonly peerFrames = this.counter('peer_frames', 'Frames from peers', ['type']);
  /** Changes of the state of boxes of the same hall: down or up. */
  readonly peerStateChanges = this.counter('peer_standings', 'Changes of standing of boxes', ['standing']);
  /** Changes of the quarantine state of requests that were in flight during crashes. */
  readonly quarantineChanges = this.counter('quarantine_changes', 'Changes of standing of requests', [
    'change',
  ]);
  /** Distinct requests in quarantine: not sent to endpoints because they crash them. */
  readonly quarantined = this.gauge('quarantined_requests', 'Requests not sent since they crash endpoints');
  /** Processor time of the process since its loop started. */
  readonly processorMs = this.counter('processor_ms', 'Processor time, in milliseconds', []);
  /** Time that the loop spent on each kind of work; garbage collection also counts for the kind that it interrupts. */
  readonly workMs = this.counter('work_ms', 'Time spent by kind of work, in milliseconds', ['kind']);
  /** Log lines left out to bound the volume of the log. */
  readonly suppressedLines = this.counter('log_lines_suppressed', 'Log lines left out', ['event']);
  /** Version of the configuration in force. */
  readonly configurationVersion = this.gauge(
    'configuration_version',
    'Version of the configuration in force',
  );
  /** Endpoints that are kept although no longer listed: their entries may have expired while they still run. */
  readonly lapsedEndpoints = this.gauge('lapsed_endpoints', 'Endpoints kept although their entry vanished');
  /** Requests that were stopped right before they were sent, by why their endpoint gets nothing new. */
  readonly lateStops = this.counter('late_stops', 'Requests stopped as their endpoint leaves', ['proof']);
  /** Halls that operators have ordered to be evacuated: their endpoints get no new requests. */
  readonly evacuatedHalls = this.gauge('evacuated_halls', 'Halls whose endpoints get nothing new');
  /** Requests rejected because their service is short of room. */
  readonly shedRequests = this.counter('shed_requests', 'Requests rejected for lack of room', [
    'service',
    'reason',
  ]);
  /** Share of the requests to a large service that this box admits: 1 unless the service is short of room. */
  readonly admittedShare = new Gauge({
    name: 'hazelwalk_admitted_share',
    help: 'Share of the requests that is admitted',
    labelNames: ['service'] as const,
    registers: [this.registry],
  });
  /** Endpoints that take longer than usual, as pooled from the observations of all boxes. */
  readonly slowEndpoints = this.gauge('slow_endpoints', 'Endpoints that are slower than usual');
  /** Load reports of endpoints that cannot be read, by service. */
  readonly malformedLoadReports = this.counter(
    'malformed_load_reports',
    'Load reports of endpoints that cannot be read',
    ['service'],
  );
  /** Boxes whose loads this box knows, including itself. */
  readonly loadBoxes = this.gauge('load_boxes', 'Boxes whose loads are known here');
  /** Age of the oldest of these loads. */
  readonly loadAgeMs = this.gauge('load_age_ms', 'Age of the oldest loads that are known here');
  /** Requests for slots of services that are short of room, by what came of them. */
  readonly slotRequests = this.counter('slot_requests', 'Requests for slots by outcome', ['outcome']);
  /** Requests that endpoints refused for lack of room, by why they were sent. */
  readonly roomRefusals = this.counter('room_refusals', 'Requests refused by endpoints for lack of room', [
    'service',
    'basis',
  ]);
  /** Requests that wait for their admission at this box. */
  readonly waitingRequests = this.gauge('waiting_requests', 'Requests that wait for their admission');
  /** Services that are short of room, in the view of this box. */
  readonly shortServices = this.gauge('short_services', 'Services short of room');
  /** Time that requests to services short of room waited for their admission. */
  readonly admissionWaitMs = new Histogram({
    name: 'hazelwalk_admission_wait_ms',
    help: 'Time that requests waited for their admission',
    labelNames: ['service'] as const,
    buckets: LATENCY_BUCKETS_MS,
    registers: [this.registry],
  });
  /** Time from a request to the first byte of its response. */
  readonly firstByteMs = new Histogram({
    name: 'hazelwalk_first_byte_ms',
    help: 'Time from a request to the first byte of its answer',
    labelNames: ['service'] as const,
    buckets: LATENCY_BUCKETS_MS,
    registers: [this.registry],
  });

  /** Returns all metrics in the text format of Prometheus. */
  format(): Promise<string> {
    return this.registry.metrics();
  }

  private gauge(name: string, help: string): GaugeType {
    return new Gauge({ name: `hazelwalk_${name}`, help, registers: [this.registry] });
  }

  private counter<T extends string>(name: string, help: string, labelNames: readonly T[]): CounterType<T> {
    return new Counter({
      name: `hazelwalk_${name}_total`,
      help,
      labelNames: [...labelNames],
      registers: [this.registry],
    });
  }
}
