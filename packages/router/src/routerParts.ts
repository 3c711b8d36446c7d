/** Creates the parts of a box (tables, systems and adapters) and connects them with each other. */
import { deriveTunnelLimit } from '@hazelwalk/http';
import { OutageReturns } from './admission/outageReturns.js';
import { RequestDurations } from './capacity/requestDurations.js';
import { EndpointPaces } from './capacity/endpointPaces.js';
import { LoadShedder } from './admission/loadShedder.js';
import { BoxAdmission } from './admission/boxAdmission.js';
import { SlotScheduler } from './admission/slotScheduler.js';
import { DecisionLog } from './observability/decisionLog.js';
import { LoadViewLog } from './observability/loadViewLog.js';
import { RouterMetrics } from './observability/metrics.js';
import { createCrashReportLog, createQuarantineLog } from './observability/quarantineLog.js';
import { HealthLog } from './observability/healthLog.js';
import { PaceLog } from './observability/paceLog.js';
import { StopLog } from './observability/stopLog.js';
import { WorkMeter } from './observability/workMeter.js';
import { FeatureSwitches } from './featureSwitches.js';
import type { PeerFrameHandlers } from './peers/dispatchPeerFrame.js';
import { BoxFeed } from './published/boxFeed.js';
import { HeartbeatSender } from './peers/heartbeatSender.js';
import { LoadRelay } from './peers/loadRelay.js';
import { PaceRelay } from './peers/paceRelay.js';
import { PeerMesh } from './peers/peerMesh.js';
import { TcpTransport } from './peers/peerTransport.js';
import { CallerServer } from './proxy/callerServer.js';
import { CrashCheck } from './proxy/crashCheck.js';
import { cutOffRequests } from './proxy/cutOffRequests.js';
import { EndpointConnections } from './proxy/endpointConnections.js';
import { EndpointDialer } from './proxy/endpointDialer.js';
import { PaceObserver } from './proxy/paceObserver.js';
import { Quarantine } from './quarantine/quarantine.js';
import { QuarantineRelay } from './quarantine/quarantineRelay.js';
import type { RouterContext, RunningRequest } from './routerContext.js';
import type { FleetRouterOptions, RouterInput } from './routerOptions.js';
import { createColdEndpointLimiter } from './systems/createColdEndpointLimiter.js';
import type { RoomConditions } from './systems/endpointHealth.js';
import { EndpointObserver } from './systems/endpointObserver.js';
import { GracefulShutdown, isClosing } from './systems/gracefulShutdown.js';
import { PublishedState } from './published/publishedState.js';
import { PromptDemand } from './systems/promptDemand.js';
import { PromptHolders } from './systems/promptHolders.js';
import { Placement } from './systems/placement.js';
import { Reachability } from './systems/reachability.js';
import { RetryBudget } from './systems/retryBudget.js';
import { EndpointTable } from './tables/endpointTable.js';
import { BoxStreams } from './streams/boxStreams.js';
import { BoxTunnels } from './tunnels/boxTunnels.js';

/** What the parts need from the loop that drives them. */
export interface RouterHooks {
  /** Passes an input to the loop. */
  readonly pushInput: (input: RouterInput) => void;
  /** Called when the box has a configuration and endpoints for the first time. */
  readonly resumeWaitingRequests: () => void;
  /** Called when a graceful shutdown is complete. */
  readonly handleStopped: () => void;
}

/** The parts of one box. */
export class RouterParts {
  readonly metrics = new RouterMetrics();
  readonly features: FeatureSwitches;
  readonly log: DecisionLog;
  readonly stopLog: StopLog;
  readonly work: WorkMeter;
  readonly table: EndpointTable;
  readonly state: PublishedState;
  readonly tunnels: BoxTunnels;
  readonly streams: BoxStreams;
  readonly connections: EndpointConnections;
  readonly reachability: Reachability;
  readonly mesh: PeerMesh;
  readonly callers: CallerServer;
  /** Requests in progress. */
  readonly exchanges = new Set<RunningRequest>();
  readonly feed: BoxFeed;
  readonly loadRelay: LoadRelay;
  readonly quarantineRelay: QuarantineRelay;
  readonly heartbeatSender: HeartbeatSender;
  readonly admission: BoxAdmission;
  readonly peerFrameHandlers: PeerFrameHandlers;
  readonly gracefulShutdown: GracefulShutdown;
  private readonly dialer: EndpointDialer;
  private readonly healthLog: HealthLog;
  private readonly observer: EndpointObserver;
  private readonly paceObserver: PaceObserver;
  private readonly promptHolders = new PromptHolders();
  private readonly demand = new PromptDemand();
  private readonly quarantine: Quarantine;
  private readonly durations = new RequestDurations();

  constructor(
    private readonly options: FleetRouterOptions,
    private readonly hash: (text: string, seed?: number) => number,
    hooks: RouterHooks,
  ) {
    const { now } = this;
    this.features = new FeatureSwitches(options.features);
    this.log = new DecisionLog(options.boxId, this.metrics, now);
    this.stopLog = new StopLog(this.log, this.metrics);
    this.healthLog = new HealthLog(this.log, this.metrics, now);
    this.work = new WorkMeter({ log: this.log, metrics: this.metrics, now });
    const { work } = this;
    this.table = new EndpointTable(hash);
    this.state = new PublishedState({
      table: this.table,
      log: this.log,
      metrics: this.metrics,
      now,
      entryHeartbeatMs: options.entryHeartbeatMs,
      hash,
      parseConfiguration: (text) => work.measure('configuration', () => options.parseConfiguration(text)),
      onLimits: (limits) => this.callers.applyLimits(limits),
      onEndpointRemoved: (id) => this.connections.forget(id),
      onInitialized: () => hooks.resumeWaitingRequests(),
    });
    const countBoxes = (): number => this.mesh.countBoxes();
    this.dialer = new EndpointDialer({
      dial: options.dialEndpoint,
      tunnels: {
        listCandidates: (row) => this.tunnels.client.listCandidates(row),
        open: (peer, row) => this.tunnels.client.open(peer, row),
      },
      now,
      onTunnelled: (row, reason) => this.reachability.recordTunnelled(row, reason),
      onDirect: (row) => this.reachability.recordDirect(row),
    });
    this.connections = new EndpointConnections({
      countBoxes,
      now,
      dialer: this.dialer,
      onOpened: () => this.metrics.connections.inc(),
    });
    this.reachability = new Reachability({
      table: this.table,
      connections: this.connections,
      now,
      isEvacuated: (hall) => this.state.evacuations.isEvacuated(hall),
      onChange: (row, change, reason) => this.healthLog.logEndpointHealth(row, change, reason),
      onPathChange: (row, change, reason) => this.tunnels.recordPathChange(row, change, reason),
      onCounted: (counts) => this.tunnels.recordCounts(counts),
    });
    const { table, healthLog } = this;
    const checkHall = (endpointHall: string): void => this.reachability.checkHall(endpointHall);
    const roomConditions: RoomConditions = {
      isLimited: () => this.features.isOn('ejectionLimit'),
      isEvacuated: (endpointHall) => this.state.evacuations.isEvacuated(endpointHall),
      isLimitedWhileCold: (service) => this.state.index?.findService(service)?.coldStart !== undefined,
    };
    this.observer = new EndpointObserver({ table, healthLog, now, checkHall, roomConditions });
    this.mesh = new PeerMesh(
      {
        hall: options.hall,
        seeds: options.seedAddresses,
        transport: new TcpTransport(
          (reader, chunk) => work.measure('frameDecoding', () => reader.push(chunk)),
          (request, socket) => void this.tunnels.server.serve(request, socket),
        ),
        now,
        random: Math.random,
        rank: (address) => hash(address),
        firstIncarnation: Date.now(),
      },
      {
        createHeartbeat: () => this.heartbeatSender.createInitialHeartbeat(),
        onFrameRead: (type) => this.metrics.peerFrames.inc({ type }),
        onFrame: (frame, reply) => hooks.pushInput({ type: 'peerFrame', frame, reply }),
        onProblem: (problem) => this.log.write('notable', 'peerProblem', { ...problem }),
        onStateChange: (address, state, reason) =>
          this.healthLog.logBoxState(address, state, reason, countBoxes()),
      },
    );
    const { mesh, state, log, metrics } = this;
    const { hall, linkMbps } = options;
    this.feed = new BoxFeed({ ...options, mesh, state, log, hash, now });
    const paceLog = new PaceLog(log, metrics);
    const paces = new EndpointPaces({
      table,
      isEnabled: () => this.features.isOn('paceWeighting'),
      onChange: paceLog.logChange,
      onClear: paceLog.recordClear,
    });
    this.paceObserver = new PaceObserver(paces, paceLog);
    const loadViewLog = new LoadViewLog({ log, metrics, countBoxes });
    this.loadRelay = new LoadRelay({
      mesh,
      table: this.table,
      promptHolders: this.promptHolders,
      demand: this.demand,
      paces: new PaceRelay(paces),
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
    const { promptHolders, loadRelay, quarantineRelay } = this;
    const { relay: feedRelay, valueSync, proofs: listProofs } = this.feed;
    const isStopping = (): boolean => this.gracefulShutdown.isInProgress;
    this.admission = new BoxAdmission({
      hall,
      mesh,
      table,
      state,
      features: this.features,
      metrics,
      log,
      scheduling: new SlotScheduler(Math.random),
      shedding: new LoadShedder(Math.random),
      hash: (text) => hash(text),
      now,
      readView: () => this.loadRelay.readViewStatus(),
      isStopping,
    });
    this.tunnels = new BoxTunnels({
      hall,
      maxTunnels: deriveTunnelLimit(options.machine),
      mesh,
      table,
      features: this.features,
      metrics,
      log,
      now,
      readStopPhase: () => this.gracefulShutdown.phase,
      readRemainingMs: () => this.gracefulShutdown.remainingMs,
      dialSocket: (row) => this.dialer.dialSocket(row),
      onDialFailed: (row) => this.reachability.verify(row),
      onAbilityChange: () => this.heartbeatSender.sendToHall(),
    });
    const rank = (address: string): number => hash(address);
    this.streams = new BoxStreams({ hall, mesh, table, state, proofs: listProofs, metrics, rank, now });
    const { tracker: streamTracker, lookup: originLookup, notices: versionNotices } = this.streams;
    const { slotRelay } = this.admission;
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
      handlesSlots: () => this.admission.handlesSlots,
      listBrittle: () => this.admission.listBrittle(),
      servesTunnels: () => this.tunnels.isAble,
      now,
    });
    this.peerFrameHandlers = {
      promptHolders,
      loadRelay,
      quarantineRelay,
      valueSync,
      feedRelay,
      slotRelay,
      admission: this.admission,
      streamTracker,
      originLookup,
      versionNotices,
      listProofs,
      state,
    };
    this.callers = new CallerServer(this.createContext(countBoxes), this.stopLog, options);
    this.gracefulShutdown = new GracefulShutdown({
      now,
      log,
      graceMs: options.stopGraceMs,
      callers: this.callers,
      countExchanges: () => this.exchanges.size,
      countTunnels: () => this.tunnels.server.size,
      retireTunnels: () => this.tunnels.server.retireAll(),
      cutOff: () =>
        cutOffRequests(this.exchanges, this.stopLog, now() - this.gracefulShutdown.sinceRequestMs),
      wakeAfter: (delayMs) => void setTimeout(() => hooks.pushInput({ type: 'stopDue' }), delayMs).unref(),
      onStopped: () => hooks.handleStopped(),
    });
  }

  /** Monotonic milliseconds. */
  readonly now = (): number => performance.now();

  private createContext(countBoxes: () => number): RouterContext {
    const { options, now, hash } = this;
    const budget = new RetryBudget(options.retryBound, now(), countBoxes);
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
        filterKnown: (service, rows) => this.streams.notices.filterKnown(service, rows),
        cold: createColdEndpointLimiter({ ...options, mesh: this.mesh, hash, startedAtMs: now() }),
        findRegion: (other) => options.regions[other],
        readLoadPath: () => (this.mesh.isFullMesh ? 'direct' : 'relayed'),
        readLoadAgeMs: () => this.loadRelay.readLoadAgeMs(),
      }),
      budget,
      outageReturns: new OutageReturns({
        random: Math.random,
        readRequestsPerS: (service, nowMs) => budget.readRequestsPerS(service, nowMs),
      }),
      connections: this.connections,
      crashCheck: new CrashCheck(this.connections, (row) => this.observer.record(row, 'connectRefused')),
      quarantine: this.quarantine,
      quarantineRelay: this.quarantineRelay,
      metrics: this.metrics,
      log: this.log,
      features: this.features,
      admission: this.admission.gate,
      recordLackOfRoom: (service) => this.admission.recordRefusal(service),
      readLoadAgeMs: () => this.loadRelay.readLoadAgeMs(),
      exchanges: this.exchanges,
      now,
      hash,
      streams: this.streams,
      readIndex: () => this.state.index,
      isInitialized: () => this.state.isInitialized,
      isFull: (service) => this.admission.isFull(service),
      durations: this.durations,
      readRemainingMs: () => this.gracefulShutdown.remainingMs,
      isFinishing: () => isClosing(this.gracefulShutdown.phase),
      recordHealthSignal: (row, signal) => this.observer.record(row, signal),
      recordAnnouncements: (row, metadata) => {
        this.observer.recordAnnouncements(row, metadata);
        this.paceObserver.recordMetadata(row, metadata);
        this.admission.handleStatement(row.listing.service, metadata.rejectionsPerS);
      },
      paceObserver: this.paceObserver,
    };
  }
}
