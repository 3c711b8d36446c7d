/**
 * One box: the core loop and the adapters that connect it to sockets, timers and the platform.
 */
import type { BoxRecord, Effect, EndpointId, StreamFrame, World } from '@hazelwalk/core';
import { createHasher, createWorld, formatTicket, isReady } from '@hazelwalk/core';
import type { BoxSettings } from '@hazelwalk/config';
import { createCoreSettings, readMachine, valueParsers } from '@hazelwalk/config';
import type { Logger } from 'tslog';
import { AdminServer } from './adapters/adminServer.js';
import { CallerServer } from './adapters/callerServer.js';
import { ControlAgent } from './adapters/controlAgent.js';
import { EndpointCalls } from './adapters/endpointCalls.js';
import { EndpointReports } from './adapters/endpointReports.js';
import type { ResponseSink } from './adapters/exchange.js';
import { KeyedResponses } from './adapters/keyedResponses.js';
import { Metrics } from './adapters/metrics.js';
import { PeerLinks } from './adapters/peerLinks.js';
import { createPlatformReader } from './adapters/platformReader.js';
import { PlatformWatch } from './adapters/platformWatch.js';
import type { BoxStatus } from './boxStatus.js';
import { explainChat, readBoxStatus } from './boxStatus.js';
import { CoreLoop } from './coreLoop.js';

const RADIX = 36;

/** Addresses that a box is bound to, with the ports that the system chose. */
export interface BoundAddresses {
  readonly caller: string;
  readonly peer: string;
  readonly admin: string;
}

/** Runs one box until it is stopped. */
export class Box {
  private readonly loop: CoreLoop;
  private readonly metrics: Metrics;
  private readonly control = new ControlAgent();
  private readonly sinks = new Map<string, ResponseSink>();
  private readonly keyed: KeyedResponses;
  private readonly peers: PeerLinks;
  private readonly calls: EndpointCalls;
  private readonly platform: PlatformWatch;
  private readonly reports: EndpointReports;
  private readonly callers: CallerServer;
  private readonly admin: AdminServer;
  private nextRequest = 0;
  private nextTicket = 0;
  private resolveStopped: () => void = () => {};
  /** Settles when a planned stop is complete. */
  readonly stopped = new Promise<void>((resolve) => {
    this.resolveStopped = resolve;
  });

  private constructor(
    private readonly world: World,
    private readonly settings: BoxSettings,
    self: BoxRecord,
    private readonly logger: Logger<unknown>,
  ) {
    this.metrics = new Metrics(settings.statsdAddress, settings.boxId);
    this.loop = new CoreLoop(world, (effect) => this.applyEffect(effect));
    const { emit } = this.loop;
    const { metrics } = this;
    const send = (to: string, frame: StreamFrame): void => this.sendStreamFrame(to, frame);
    this.peers = new PeerLinks({
      self,
      incarnation: world.self.incarnation,
      emit,
      metrics,
      onStreamFrame: (from, frame) => this.routeStreamFrame(from, frame),
      onProblem: (problem) => logger.warn(problem.code, problem.detail),
    });
    const readValue = createPlatformReader(settings.platformUrl, this.control.agent);
    this.platform = new PlatformWatch({ readValue, leaseMs: settings.keyLeaseMs, emit, metrics });
    this.reports = new EndpointReports(this.control.agent, emit);
    this.calls = new EndpointCalls({
      emit,
      send,
      mayShareConnection: (name) => this.mayShareConnection(name),
    });
    this.keyed = new KeyedResponses({ emit, send, sinks: this.sinks });
    this.callers = new CallerServer({
      maxBodyBytes: settings.maxBodyBytes,
      maxHeaderBytes: settings.maxHeaderBytes,
      headerTimeoutMs: settings.headerTimeoutMs,
      bodyTimeoutMs: settings.bodyTimeoutMs,
      machine: readMachine(settings),
      callerResources: settings.callers,
      onEvicted: (evicted, use) => logger.warn('callers gave way', { ...evicted, ...use }),
      createRequestId: () => this.createRequestId(),
      isReady: () => isReady(world),
      emit,
      send,
      metrics,
      createTicket: () => this.createTicket(),
      sinks: this.sinks,
    });
    this.admin = new AdminServer({
      readStatus: () => this.readStatus(),
      readDeclaredFile: () => world.values.declared.text,
      explainChat: (model, chat) => explainChat(world, model, chat),
      requestStop: () => this.requestStop(),
    });
  }

  /** Creates a box from its settings without binding its listeners. */
  static async create(settings: BoxSettings, logger: Logger<unknown>): Promise<Box> {
    const nowMs = Date.now();
    const incarnation = nowMs.toString(RADIX);
    const { boxId, hall, peerAddress } = settings;
    const deps = { hasher: await createHasher(), random: Math.random, parsers: valueParsers };
    const world = createWorld({ boxId, hall, incarnation }, createCoreSettings(settings), deps, nowMs);
    return new Box(world, settings, { id: boxId, hall, peerAddress, state: 'live' }, logger);
  }

  /** Binds the listeners and starts the loop. Rejects if an address is in use. */
  async start(): Promise<BoundAddresses> {
    const { settings } = this;
    const running = this.loop.run();
    running.catch((error: unknown) => this.exitOnFailure(error));
    const peer = await this.peers.listen(settings.peerAddress);
    const admin = await this.admin.listen(settings.adminAddress);
    const caller = await this.callers.listen(settings.callerAddress);
    this.connectToSeeds();
    return { caller, peer, admin };
  }

  /** Starts a planned stop; `stopped` settles when it is complete. */
  requestStop(): void {
    this.callers.closeAfterResponses();
    this.loop.emit({ type: 'stopRequested' });
  }

  /** Stops the loop and closes all adapters without draining. */
  async close(): Promise<void> {
    const callersClosed = this.callers.close();
    this.loop.stop();
    this.platform.close();
    this.reports.close();
    this.admin.close();
    await this.peers.close();
    await callersClosed;
    await this.calls.close();
    await this.control.agent.destroy();
    await this.metrics.close();
  }

  private readStatus(): BoxStatus {
    return readBoxStatus(this.world, this.metrics, this.peers.bytes, this.control.bytes);
  }

  /**
   * Connecting is enough: a seed that gets the hello frame connects back, and the core requests the values that the seed's
   * heartbeats announce.
   */
  private connectToSeeds(): void {
    const seeds = this.settings.seedAddresses.filter((address) => address !== this.settings.peerAddress);
    if (seeds.length === 0) return;
    this.peers.connectTo(
      seeds.map((peerAddress) => ({
        id: `seed:${peerAddress}`,
        hall: this.settings.hall,
        peerAddress,
        state: 'live',
      })),
    );
  }

  private createRequestId(): string {
    this.nextRequest += 1;
    const { boxId, incarnation } = this.world.self;
    return `${boxId}.${incarnation}.${this.nextRequest.toString(RADIX)}`;
  }

  private createTicket(): string {
    this.nextTicket += 1;
    const { boxId, incarnation } = this.world.self;
    return formatTicket(boxId, incarnation, this.nextTicket);
  }

  /** Only calls that may be repeated share connections: a shared connection can break with a request half sent. */
  private mayShareConnection(name: string): boolean {
    const service = this.world.declared?.services.get(name);
    return service?.kind === 'model' || service?.repeat === 'safe';
  }

  private sendStreamFrame(to: string, frame: StreamFrame): void {
    if (to === this.world.self.boxId) this.routeStreamFrame(to, frame);
    else this.peers.send(to, frame);
  }

  private routeStreamFrame(from: string, frame: StreamFrame): void {
    const isForOwner =
      frame.type !== 'answerHead' && (frame.side === 'request') !== (frame.type === 'credit');
    const isHandled = isForOwner
      ? this.calls.handleFrame(frame)
      : (this.sinks.get(frame.requestId)?.handleFrame(from, frame) ?? false);
    if (!isHandled) this.metrics.count('stream.foreign');
  }

  private bind(requestId: string, attempt: number, ownerId: string, endpointId: EndpointId): void {
    this.sinks.get(requestId)?.bind({ requestId, attempt }, ownerId, endpointId);
  }

  private applyEffect(effect: Effect): void {
    switch (effect.type) {
      case 'send':
        return this.peers.send(effect.to, effect.frame);
      case 'broadcast':
        return this.peers.broadcast(effect.to, effect.frame);
      case 'connectPeers':
        return this.peers.connectTo(effect.boxes);
      case 'watchValues':
        return this.platform.watch(effect.names);
      case 'confirmValues':
        return this.platform.confirm(effect.names);
      case 'watchEndpoints':
        return this.reports.watch(effect.endpoints);
      case 'dispatch':
        return this.calls.dispatch(effect);
      case 'cancelCall':
        return this.calls.cancel(effect);
      case 'bindRequest':
        return this.bind(effect.requestId, effect.attempt, effect.ownerId, effect.endpointId);
      case 'openKeyed':
        return this.keyed.open(effect.requestId);
      case 'deliverKeyed':
        return this.keyed.deliver(effect.keyedRequestId, effect.requester);
      case 'forgetKeyed':
        return this.keyed.discard(effect.keyedRequestId);
      case 'refuseCaller':
        return this.sinks.get(effect.requestId)?.refuse(effect.refusal);
      case 'count':
        return this.metrics.count(effect.counter);
      case 'log':
        return void this.logger[effect.level](effect.message);
      case 'stopped':
        return this.resolveStopped();
    }
  }

  /** Exits on a failure of the core, which may leave its tables inconsistent: no box is better than one that routes wrongly. */
  private exitOnFailure(error: unknown): void {
    this.logger.error('the core failed; the box stops', error);
    process.exit(1);
  }
}
