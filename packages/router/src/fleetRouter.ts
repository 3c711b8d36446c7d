/**
 * A box of the fleet: the tables, the systems that work on them, and the adapters for the network, driven by one loop.
 */
import { createHasher, SynchronousSource } from '@hazelwalk/core';
import { Stream } from 'most';
import { DecisionLog } from './observability/decisionLog.js';
import { LoadViewLog } from './observability/loadViewLog.js';
import { RouterMetrics } from './observability/metrics.js';
import { createCrashReportLog, createQuarantineLog } from './observability/quarantineLog.js';
import { HealthLog } from './observability/healthLog.js';
import { readProcessorMs, WorkMeter } from './observability/workMeter.js';
import type { PeerFrameHandlers } from './peers/dispatchPeerFrame.js';
import { dispatchPeerFrame, findWorkKind } from './peers/dispatchPeerFrame.js';
import { FeedRelay } from './peers/feedRelay.js';
import { HeartbeatSender } from './peers/heartbeatSender.js';
import { LoadRelay } from './peers/loadRelay.js';
import { PeerMesh } from './peers/peerMesh.js';
import { TcpTransport } from './peers/peerTransport.js';
import { PeerValueSync } from './peers/peerValueSync.js';
import { CallerServer } from './proxy/callerServer.js';
import { CrashCheck } from './proxy/crashCheck.js';
import { EndpointConnections } from './proxy/endpointConnections.js';
import { Quarantine } from './quarantine/quarantine.js';
import { QuarantineRelay } from './quarantine/quarantineRelay.js';
import type { RouterContext, RunningRequest } from './routerContext.js';
import type { FleetRouterOptions, RouterInput } from './routerOptions.js';
import { ColdEndpointLimiter } from './systems/coldEndpointLimiter.js';
import { isUsable } from './systems/endpointHealth.js';
import { acceptsRequests } from './systems/endpointNotices.js';
import { EndpointObserver } from './systems/endpointObserver.js';
import type { FeedRole } from './systems/feedRole.js';
import { GracefulShutdown } from './systems/gracefulShutdown.js';
import type { Publication } from './systems/publishedState.js';
import { PublishedState } from './systems/publishedState.js';
import { PromptDemand } from './systems/promptDemand.js';
import { PromptHolders } from './systems/promptHolders.js';
import { Placement } from './systems/placement.js';
import { Reachability } from './systems/reachability.js';
import { RetryBudget } from './systems/retryBudget.js';
import { EndpointTable } from './tables/endpointTable.js';

/** Interval at which the systems run: short enough for timeouts of half a second, long enough to cost little. */
const TICK_MS = 40;
/** A tick later than this means that the process was paused: data that waits in its sockets has to be read first. */
const PAUSE_THRESHOLD_MS = 400;

/** A running box. */
export class FleetRouter {
  readonly metrics = new RouterMetrics();
  readonly log: DecisionLog;
  private readonly healthLog: HealthLog;
  private readonly work: WorkMeter;
  private readonly inputs = new SynchronousSource<RouterInput>();
  private readonly table: EndpointTable;
  private readonly state: PublishedState;
  private readonly connections: EndpointConnections;
  private readonly reachability: Reachability;
  private readonly observer: EndpointObserver;
  private readonly mesh: PeerMesh;
  private readonly callers: CallerServer;
  private readonly exchanges = new Set<RunningRequest>();
  private tickedAtMs = performance.now();
  private readonly valueSync: PeerValueSync;
  private readonly promptHolders = new PromptHolders();
  private readonly demand = new PromptDemand();
  private readonly feedRelay: FeedRelay;
  private readonly loadRelay: LoadRelay;
  private readonly quarantine: Quarantine;
  private readonly quarantineRelay: QuarantineRelay;
  private readonly heartbeatSender: HeartbeatSender;
  private readonly peerFrameHandlers: PeerFrameHandlers;
  private readonly gracefulShutdown: GracefulShutdown;
  private ticker: NodeJS.Timeout | undefined;
  private resolveStopped: () => void = () => {};
  /** Resolves when a graceful shutdown is complete. */
  readonly stopped = new Promise<void>((resolve) => {
    this.resolveStopped = resolve;
  });

  private constructor(
    private readonly options: FleetRouterOptions,
    private readonly hash: (text: string, seed?: number) => number,
  ) {
    const now = this.now;
    this.log = new DecisionLog(options.boxId, this.metrics, now);
    this.healthLog = new HealthLog(this.log, this.metrics, now);
    this.work = new WorkMeter({ log: this.log, metrics: this.metrics, now });
    const { work } = this;
    this.table = new EndpointTable(hash);
    this.state = new PublishedState({
      table: this.table,
      log: this.log,
      metrics: this.metrics,
      now,
      hash,
      parseConfiguration: (text) => work.measure('configuration', () => options.parseConfiguration(text)),
      onLimits: (limits) => this.callers.applyLimits(limits),
      onEndpointRemoved: (id) => this.connections.forget(id),
      onInitialized: () => this.resumeWaitingRequests(),
    });
    const countBoxes = (): number => this.mesh.countBoxes();
    this.connections = new EndpointConnections({
      countBoxes,
      now,
      onOpened: () => this.metrics.connections.inc(),
    });
    this.reachability = new Reachability({
      table: this.table,
      connections: this.connections,
      now,
      isEvacuated: (hall) => this.state.evacuations.isEvacuated(hall),
      onChange: (row, change, reason) => this.healthLog.logEndpointHealth(row, change, reason),
    });
    const { table, healthLog } = this;
    const checkHall = (endpointHall: string): void => this.reachability.checkHall(endpointHall);
    this.observer = new EndpointObserver({ table, healthLog, now, checkHall });
    this.mesh = new PeerMesh(
      {
        hall: options.hall,
        seeds: options.seedAddresses,
        transport: new TcpTransport((reader, chunk) =>
          work.measure('frameDecoding', () => reader.push(chunk)),
        ),
        now,
        random: Math.random,
        rank: (address) => hash(address),
        firstIncarnation: Date.now(),
      },
      {
        createHeartbeat: () => this.heartbeatSender.createInitialHeartbeat(),
        onFrameRead: (type) => this.metrics.peerFrames.inc({ type }),
        onFrame: (frame) => this.inputs.push({ type: 'peerFrame', frame }),
        onProblem: (problem) => this.log.write('notable', 'peerProblem', { ...problem }),
        onStateChange: (address, state, reason) =>
          this.healthLog.logBoxState(address, state, reason, countBoxes()),
      },
    );
    const { mesh, state, log, metrics } = this;
    const { applyBoundMs, hall, linkMbps } = options;
    this.valueSync = new PeerValueSync({ mesh, state, log: this.log, now, applyBoundMs });
    const loadViewLog = new LoadViewLog({ log, metrics, countBoxes });
    this.loadRelay = new LoadRelay({
      mesh,
      table: this.table,
      promptHolders: this.promptHolders,
      demand: this.demand,
      hall,
      hash,
      random: Math.random,
      now,
      onViewStatus: (status) => loadViewLog.record(status),
    });
    const readCount = (): number => this.quarantine.quarantinedCount;
    this.quarantine = new Quarantine(now, createQuarantineLog({ log, metrics, now, readCount }));
    const { quarantine } = this;
    const { random } = Math;
    const onReport = createCrashReportLog(log);
    this.quarantineRelay = new QuarantineRelay({ mesh, quarantine, hall, rank: hash, now, random, onReport });
    this.feedRelay = new FeedRelay({
      mesh,
      state,
      valueSync: this.valueSync,
      log: this.log,
      hall,
      linkMbps,
      hash,
      now,
      applyBoundMs,
    });
    const { promptHolders, loadRelay, quarantineRelay, valueSync, feedRelay } = this;
    const isStopping = (): boolean => this.gracefulShutdown.isInProgress;
    this.heartbeatSender = new HeartbeatSender({
      hall,
      linkMbps,
      mesh,
      state,
      table,
      promptHolders,
      loadRelay,
      feedRelay,
      quarantineRelay,
      isStopping,
      now,
    });
    this.peerFrameHandlers = { promptHolders, loadRelay, quarantineRelay, valueSync, feedRelay, state };
    this.callers = new CallerServer(this.createContext(countBoxes));
    this.gracefulShutdown = new GracefulShutdown({
      now,
      log,
      graceMs: options.stopGraceMs,
      countExchanges: () => this.exchanges.size,
      stopAccepting: () => this.callers.stopAccepting(),
      onStopped: () => this.resolveStopped(),
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
    await this.mesh.listen(peerAddress.host, peerAddress.port);
    await this.callers.listen(callerAddress.host, callerAddress.port);
    // `periodic` of the stream library follows the time of day, which may jump.
    this.ticker = setInterval(() => this.inputs.push({ type: 'tick' }), TICK_MS);
    this.log.write('lifecycle', 'started', {
      hall: this.options.hall,
      callerPort: this.callers.port,
      processorMs: Math.round(readProcessorMs()),
    });
  }

  /** Handles an input before returning. */
  push(input: RouterInput): void {
    this.inputs.push(input);
  }

  /** Whether callers should be sent to this box: it has a configuration and endpoints, and is not stopping. */
  isReady(): boolean {
    return this.state.isInitialized && !this.gracefulShutdown.isInProgress;
  }

  /** Version of the configuration in force; 0 before the first. */
  get configurationVersion(): number {
    return this.state.configurationVersion;
  }

  /** Whether the last call to the platform succeeded, as far as this box or its peers know. */
  get isPlatformConnected(): boolean {
    return this.state.isPlatformConnected;
  }

  /** Decides the current role of this box: watch the platform, read the configuration once, or rely on its peers. */
  decideFeedRole(): FeedRole {
    return this.feedRelay.decideRole();
  }

  /** Counts the endpoints of a service that get new requests from this box. */
  countUsableEndpoints(service: string): number {
    const rows = this.table.listService(service);
    return rows.filter((row) => acceptsRequests(row, this.now()) && isUsable(row, this.now())).length;
  }

  /** Address at which peers are accepted. */
  get peerAddress(): string {
    return this.mesh.address;
  }

  /** Port on which callers are accepted. */
  get callerPort(): number {
    return this.callers.port;
  }

  /** Closes everything immediately, including requests in progress. */
  close(): void {
    clearInterval(this.ticker);
    this.callers.close();
    this.mesh.close();
    this.connections.close();
    this.work.close();
    this.log.write('lifecycle', 'stopped', { requestsCutOff: this.exchanges.size });
    this.log.close();
  }

  private readonly now = (): number => performance.now();

  private createContext(countBoxes: () => number): RouterContext {
    const { options, now, hash } = this;
    return {
      dialect: options.dialect,
      table: this.table,
      placement: new Placement({
        table: this.table,
        hasher: { h32: (text, seed) => hash(text, seed) },
        hall: options.hall,
        random: Math.random,
        promptHolders: this.promptHolders,
        demand: this.demand,
        evacuations: this.state.evacuations,
        cold: this.createColdEndpointLimiter(),
        findRegion: (other) => options.regions[other],
        readLoadPath: () => (this.mesh.isFullMesh ? 'direct' : 'relayed'),
        readLoadAgeMs: () => this.loadRelay.readLoadAgeMs(),
      }),
      budget: new RetryBudget(options.retryBound, now(), countBoxes),
      connections: this.connections,
      crashCheck: new CrashCheck(this.connections, (row) => this.observer.record(row, 'connectRefused')),
      quarantine: this.quarantine,
      quarantineRelay: this.quarantineRelay,
      metrics: this.metrics,
      log: this.log,
      exchanges: this.exchanges,
      now,
      hash,
      readIndex: () => this.state.index,
      isInitialized: () => this.state.isInitialized,
      isStopping: () => this.gracefulShutdown.isInProgress,
      recordHealthSignal: (row, signal) => this.observer.record(row, signal),
      recordAnnouncements: (row, metadata) => this.observer.recordAnnouncements(row, metadata),
    };
  }

  private createColdEndpointLimiter(): ColdEndpointLimiter {
    const { mesh, options, hash } = this;
    return new ColdEndpointLimiter({
      hall: options.hall,
      hasher: { h32: (text, seed) => hash(text, seed) },
      bound: options.coldBound,
      startedAtMs: this.now(),
      hasJoinedFleet: () => mesh.hasJoinedFleet,
      readAddress: () => mesh.address,
      listHallPeers: () => mesh.listHallPeers(),
    });
  }

  private handle(input: RouterInput): void {
    switch (input.type) {
      case 'tick':
        return this.tick();
      case 'published':
        return this.work.measure('lists', () => this.handlePublication(input.publication));
      case 'configurationPublished':
        return this.work.measure('configuration', () => this.state.applyConfiguration(input.text));
      case 'feedLost':
        return this.handleFeedLost(input.reason);
      case 'peerFrame':
        return this.work.measure(findWorkKind(input.frame.type), () =>
          dispatchPeerFrame(input.frame, this.peerFrameHandlers),
        );
      case 'stopRequested':
        return this.gracefulShutdown.request();
    }
  }

  private tick(): void {
    const nowMs = this.now();
    const sinceTickMs = nowMs - this.tickedAtMs;
    this.tickedAtMs = nowMs;
    if (sinceTickMs > PAUSE_THRESHOLD_MS) return this.handlePause(sinceTickMs);
    const { work } = this;
    work.tick(nowMs);
    work.measure('timeouts', () => this.state.tick(nowMs));
    work.measure('membership', () => this.mesh.tick());
    work.measure('timeouts', () => this.tickRequests(nowMs));
    work.measure('loads', () => this.loadRelay.tick());
    work.measure('crashNews', () => this.quarantineRelay.tick());
    work.measure('membership', () => this.heartbeatSender.tick(nowMs));
    this.gracefulShutdown.tick();
  }

  private tickRequests(nowMs: number): void {
    this.reachability.tick();
    for (const exchange of [...this.exchanges]) exchange.tick(nowMs);
  }

  /** A pause of this process must not count as silence of its endpoints. */
  private handlePause(pausedMs: number): void {
    this.log.write('lifecycle', 'stalled', {
      stalledMs: Math.round(pausedMs),
      requestsInFlight: this.exchanges.size,
    });
    for (const row of this.table.byId.values()) row.lastResponseAtMs += pausedMs;
    for (const exchange of this.exchanges) exchange.handlePause(pausedMs);
  }

  /** Continues the requests that arrived before the box had a configuration and endpoints. */
  private resumeWaitingRequests(): void {
    const nowMs = this.now();
    for (const exchange of [...this.exchanges]) exchange.tick(nowMs);
  }

  private handlePublication(publication: Publication): void {
    this.feedRelay.announce(this.state.applyPublication(publication));
  }

  private handleFeedLost(reason: string): void {
    const wasWatcherCandidate = this.feedRelay.feedState === 'able';
    this.state.handleReadFailure(reason);
    this.feedRelay.markFeedLost();
    // The hall needs another watcher before the next heartbeat would report the loss.
    if (wasWatcherCandidate) this.heartbeatSender.sendToHall();
  }

  /**
   * After a failure of the loop the tables may be inconsistent: the process exits, since no box is better than a
   * wrong one.
   */
  private exitAfterFailure(error: unknown): void {
    this.log.write('lifecycle', 'loopFailed', { detail: String((error as Error).stack ?? error) });
    this.log.close();
    process.exit(1);
  }
}
