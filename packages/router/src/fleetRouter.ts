/** A box of the fleet: its parts, driven by one loop. */
import { createHasher, SynchronousSource } from '@hazelwalk/core';
import { Stream } from 'most';
import type { FeatureSet } from './featureSwitches.js';
import type { DecisionLog } from './observability/decisionLog.js';
import type { RouterMetrics } from './observability/metrics.js';
import { readProcessorMs } from './observability/workMeter.js';
import { dispatchPeerFrame, findWorkKind } from './peers/dispatchPeerFrame.js';
import type { FleetRouterOptions, RouterInput } from './routerOptions.js';
import { RouterParts } from './routerParts.js';
import { isUsable } from './systems/endpointHealth.js';
import { acceptsRequests } from './systems/endpointNotices.js';
import type { FeedRole } from './published/feedRole.js';
import type { Publication } from './published/publishedState.js';

/** Interval at which the systems run: short enough for timeouts of half a second, long enough to cost little. */
const TICK_MS = 40;
/** A tick later than this means that the process was paused: data that waits in its sockets has to be read first. */
const PAUSE_THRESHOLD_MS = 400;

/** A running box. */
export class FleetRouter {
  private readonly inputs = new SynchronousSource<RouterInput>();
  private readonly parts: RouterParts;
  private tickedAtMs = performance.now();
  private ticker: NodeJS.Timeout | undefined;
  private resolveStopped: () => void = () => {};
  /** Resolves when a graceful shutdown is complete. */
  readonly stopped = new Promise<void>((resolve) => {
    this.resolveStopped = resolve;
  });

  private constructor(
    private readonly options: FleetRouterOptions,
    hash: (text: string, seed?: number) => number,
  ) {
    this.parts = new RouterParts(options, hash, {
      pushInput: (input) => this.inputs.push(input),
      resumeWaitingRequests: () => this.resumeWaitingRequests(),
      handleStopped: () => this.resolveStopped(),
    });
  }

  /** Creates a box; `start` binds its listeners. */
  static async create(options: FleetRouterOptions): Promise<FleetRouter> {
    const hasher = await createHasher();
    return new FleetRouter(options, (text, seed) => hasher.h32(text, seed));
  }

  /** Binds the listeners and starts the loop. Rejects if an address is taken. */
  async start(): Promise<void> {
    const { peerAddress, callerAddress } = this.options;
    new Stream(this.inputs)
      .observe((input) => this.handle(input))
      .catch((error: unknown) => this.exitAfterFailure(error));
    await this.parts.mesh.listen(peerAddress.host, peerAddress.port);
    await this.parts.callers.listen(callerAddress.host, callerAddress.port);
    // `periodic` of the stream library follows the time of day, which may jump.
    this.ticker = setInterval(() => this.inputs.push({ type: 'tick' }), TICK_MS);
    this.parts.log.write('lifecycle', 'started', {
      hall: this.options.hall,
      callerPort: this.parts.callers.port,
      processorMs: Math.round(readProcessorMs()),
    });
  }

  /** Handles an input before returning. */
  push(input: RouterInput): void {
    this.inputs.push(input);
  }

  /** Metrics of this box. */
  get metrics(): RouterMetrics {
    return this.parts.metrics;
  }

  /** Log of this box. */
  get log(): DecisionLog {
    return this.parts.log;
  }

  /** Whether callers should be sent to this box: it has a configuration and endpoints, and is not stopping. */
  isReady(): boolean {
    return this.parts.state.isInitialized && !this.parts.gracefulShutdown.isInProgress;
  }

  /** Version of the configuration in force; 0 before the first. */
  get configurationVersion(): number {
    return this.parts.state.configurationVersion;
  }

  /** Whether the last call to the platform succeeded, as far as this box or its peers know. */
  get isPlatformConnected(): boolean {
    return this.parts.state.isPlatformConnected;
  }

  /** Decides the current role of this box: watch the platform, read the configuration once, or rely on its peers. */
  decideFeedRole(): FeedRole {
    return this.parts.feed.relay.decideRole();
  }

  /** Counts the endpoints of a service that get new requests from this box. */
  countUsableEndpoints(service: string): number {
    const rows = this.parts.table.listService(service);
    return rows.filter((row) => acceptsRequests(row, this.parts.now()) && isUsable(row, this.parts.now()))
      .length;
  }

  /** Address at which peers are accepted. */
  get peerAddress(): string {
    return this.parts.mesh.address;
  }

  /** Port on which callers are accepted. */
  get callerPort(): number {
    return this.parts.callers.port;
  }

  /** Closes everything immediately, including requests in progress. */
  close(): void {
    clearInterval(this.ticker);
    this.parts.callers.close();
    this.parts.mesh.close();
    this.parts.connections.close();
    this.parts.work.close();
    this.parts.log.write('lifecycle', 'stopped', { requestsCutOff: this.parts.exchanges.size });
    this.parts.log.close();
  }

  private handle(input: RouterInput): void {
    switch (input.type) {
      case 'tick':
        return this.tick();
      case 'published':
        return this.parts.work.measure('lists', () => this.handlePublication(input.publication));
      case 'configurationPublished':
        return this.parts.work.measure('configuration', () =>
          this.parts.state.applyConfiguration(input.text),
        );
      case 'feedLost':
        return this.handleFeedLost(input.reason);
      case 'peerFrame':
        return this.parts.work.measure(findWorkKind(input.frame.type), () =>
          dispatchPeerFrame(input.frame, this.parts.peerFrameHandlers, input.reply),
        );
      case 'featuresChanged':
        return this.applyFeatures(input.features);
      case 'stopRequested':
        return this.parts.gracefulShutdown.request();
      case 'stopDue':
        return this.parts.gracefulShutdown.tick();
    }
  }

  private tick(): void {
    const nowMs = this.parts.now();
    const sinceTickMs = nowMs - this.tickedAtMs;
    this.tickedAtMs = nowMs;
    if (sinceTickMs > PAUSE_THRESHOLD_MS) return this.handlePause(sinceTickMs);
    const { work } = this.parts;
    work.tick(nowMs);
    work.measure('timeouts', () => this.parts.state.tick(nowMs));
    work.measure('lists', () => this.parts.feed.tick(nowMs));
    work.measure('membership', () => this.parts.mesh.tick());
    work.measure('timeouts', () => this.tickRequests(nowMs));
    work.measure('loads', () => this.parts.loadRelay.tick());
    work.measure('slots', () => this.parts.admission.tick(nowMs));
    work.measure('crashNews', () => this.parts.quarantineRelay.tick());
    work.measure('timeouts', () => this.parts.callers.tick());
    work.measure('streams', () => this.parts.streams.tick(nowMs));
    work.measure('membership', () => this.parts.heartbeatSender.tick(nowMs));
    this.parts.gracefulShutdown.tick();
  }

  private tickRequests(nowMs: number): void {
    this.parts.reachability.tick();
    for (const exchange of [...this.parts.exchanges]) exchange.tick(nowMs);
  }

  /** A pause of this process must not count as silence of its endpoints. */
  private handlePause(pausedMs: number): void {
    this.parts.log.write('lifecycle', 'stalled', {
      stalledMs: Math.round(pausedMs),
      requestsInFlight: this.parts.exchanges.size,
    });
    for (const row of this.parts.table.byId.values()) row.lastResponseAtMs += pausedMs;
    for (const exchange of this.parts.exchanges) exchange.handlePause(pausedMs);
  }

  /** Continues the requests that arrived before the box had a configuration and endpoints. */
  private resumeWaitingRequests(): void {
    const nowMs = this.parts.now();
    for (const exchange of [...this.parts.exchanges]) exchange.tick(nowMs);
  }

  private applyFeatures(features: FeatureSet): void {
    const { parts } = this;
    const changed = parts.features.replace(features);
    if (changed.length > 0)
      parts.log.write('lifecycle', 'featuresChanged', { changed: changed.join(), ...features });
  }

  private handlePublication(publication: Publication): void {
    this.parts.feed.relay.announce(this.parts.state.applyPublication(publication));
    if (publication.provenAtMs !== undefined) this.parts.feed.proofs.handleProven(publication.provenAtMs);
  }

  private handleFeedLost(reason: string): void {
    const wasWatcherCandidate = this.parts.feed.relay.feedState === 'able';
    this.parts.state.handleReadFailure(reason);
    this.parts.feed.relay.markFeedLost();
    // The hall needs another watcher before the next heartbeat would report the loss.
    if (wasWatcherCandidate) this.parts.heartbeatSender.sendToHall();
  }

  /**
   * After a failure of the loop the tables may be inconsistent: the process exits, since no box is better than a
   * wrong one.
   */
  private exitAfterFailure(error: unknown): void {
    this.parts.log.write('lifecycle', 'loopFailed', { detail: String((error as Error).stack ?? error) });
    this.parts.log.close();
    process.exit(1);
  }
}
