/**
 * Counters and histograms, served as text on the metrics address. Only the parts of the library that are used are
 * loaded: the rest (push gateways, clusters) costs a box a fifth of its start-up time.
 */
import type { Counter as CounterType, Gauge as GaugeType } from 'prom-client';
import Counter from 'prom-client/lib/counter.js';
import Gauge from 'prom-client/lib/gauge.js';
import Histogram from 'prom-client/lib/histogram.js';
import Registry from 'prom-client/lib/registry.js';

/** Buckets of latencies in milliseconds: from one network round trip to the longest deadlines. */
const LATENCY_BUCKETS_MS = [5, 10, 25, 50, 100, 200, 300, 400, 600, 1_000, 2_000, 5_000, 10_000];

/** Every measure of the router. */
export class RouterMetrics {
  private readonly registry = new Registry();
  /** Requests taken from callers, by route. */
  readonly requests = this.counter('requests', 'Requests taken from callers', ['service']);
  /** Final answers, by outcome: `answered`, or the name of a result code. */
  readonly outcomes = this.counter('outcomes', 'Requests by outcome', ['outcome']);
  /** Requests sent again, by reason. */
  readonly retries = this.counter('retries', 'Requests sent again', ['reason']);
  /** Requests that were not sent again, by reason. */
  readonly retriesDenied = this.counter('retries_denied', 'Requests not sent again', ['reason']);
  /** Attempts at endpoints, by how they ended. */
  readonly attempts = this.counter('attempts', 'Attempts at endpoints', ['end']);
  /** Choices of an endpoint, by how it was chosen. */
  readonly placements = this.counter('placements', 'Choices of an endpoint', ['way']);
  /** New connections to endpoints. */
  readonly connections = this.counter('endpoint_connections', 'New connections to endpoints', []);
  /** Times that the idle connections of an endpoint were closed, since one like them said nothing. */
  readonly retiredPools = this.counter('retired_pools', 'Idle connections closed as doubtful', []);
  /** Changes of belief about endpoints. */
  readonly healthChanges = this.counter('endpoint_standings', 'Changes of standing', ['change']);
  /** Announcements in response headers that changed the recorded state of an endpoint, by kind. */
  readonly endpointNotices = this.counter('endpoint_notices', 'News of endpoints in their own answers', [
    'notice',
  ]);
  /** Calls to the platform, by outcome. */
  readonly platformCalls = this.counter('platform_calls', 'Calls to the platform', ['outcome']);
  /** Era most recently reported by the platform; increases on each restore from a backup. */
  readonly platformEra = this.gauge('platform_era', 'Era of the platform, as its answers name it');
  /** Heartbeats and other frames from peers. */
  readonly peerFrames = this.counter('peer_frames', 'Frames from peers', ['type']);
  /** Boxes of the own hall found to be down, and back. */
  readonly peerStateChanges = this.counter('peer_standings', 'Changes of standing of boxes', ['standing']);
  /** Changes of what is known against requests that met crashes of endpoints. */
  readonly quarantineChanges = this.counter('quarantine_changes', 'Changes of standing of requests', [
    'change',
  ]);
  /** Requests, by content, that are not sent to endpoints since they crash them. */
  readonly quarantined = this.gauge('quarantined_requests', 'Requests not sent since they crash endpoints');
  /** Processor time of the process since its loop began. */
  readonly processorMs = this.counter('processor_ms', 'Processor time, in milliseconds', []);
  /** Time that the loop spent on a kind of work; garbage collection falls into whichever kind it interrupts as well. */
  readonly workMs = this.counter('work_ms', 'Time spent by kind of work, in milliseconds', ['kind']);
  /** Log lines left out to bound their volume. */
  readonly suppressedLines = this.counter('log_lines_suppressed', 'Log lines left out', ['event']);
  /** Version of the configuration in force. */
  readonly configurationVersion = this.gauge(
    'configuration_version',
    'Version of the configuration in force',
  );
  /** Endpoints whose entry vanished and that are kept, since it may only have lapsed. */
  readonly lapsedEndpoints = this.gauge('lapsed_endpoints', 'Endpoints kept although their entry vanished');
  /** Halls whose endpoints get nothing new, as operators ordered. */
  readonly evacuatedHalls = this.gauge('evacuated_halls', 'Halls whose endpoints get nothing new');
  /** Boxes whose loads this one knows, itself included. */
  readonly loadBoxes = this.gauge('load_boxes', 'Boxes whose loads are known here');
  /** How old the oldest of these loads are. */
  readonly loadAgeMs = this.gauge('load_age_ms', 'Age of the oldest loads that are known here');
  /** Time to the first byte of an answer. */
  readonly firstByteMs = new Histogram({
    name: 'hazelwalk_first_byte_ms',
    help: 'Time from a request to the first byte of its answer',
    labelNames: ['service'] as const,
    buckets: LATENCY_BUCKETS_MS,
    registers: [this.registry],
  });

  /** All measures as text. */
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
