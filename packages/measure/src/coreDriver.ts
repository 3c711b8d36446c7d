/**
 * Runs the production core over a trace: one world per box, delayed frames between the boxes, and simulated engines. Time is
 * virtual and random numbers are seeded; there are no processes and no sockets.
 */
import type { CoreEvent, ControlFrame, Effect, RoutingPolicy, World } from '@hazelwalk/core';
import {
  createHasher,
  createWorld,
  DEFAULT_CORE_SETTINGS,
  isControlTraffic,
  Ok,
  runTurn,
} from '@hazelwalk/core';
import type { CoreSettings, Declaration, Hasher } from '@hazelwalk/core';
import { parseBoxList, parseEndpointList } from '@hazelwalk/config';
import { encodeFrame } from '@hazelwalk/wire';
import { EngineFleet } from './fleet.js';
import { createRandom, Timeline } from '@hazelwalk/standins';
import type { Arrival, Scenario } from './scenario.js';
import { CHURN, LIST_LAG_MS } from './scenario.js';
import { Tally } from './tally.js';

const TICK_INTERVAL_MS = 50;
const SAMPLE_INTERVAL_MS = 1_000;
const REPORT_INTERVAL_MS = 2_000;
/** Bytes of one endpoint report over HTTP with its headers, as measured on the sockets of the real daemon. */
const REPORT_BYTES = 260;
const HALL_DELAY_MS = 0.3;
const REGION_DELAY_MS = 1.5;
const MAX_IN_FLIGHT = 250;

/** A simulated box and the endpoints whose reports it reads. */
interface SimulatedBox {
  readonly world: World;
  readonly hall: string;
  watchedEndpointIds: readonly string[];
}

/** A request in progress and the box that it entered. */
interface ActiveRequest {
  readonly arrival: Arrival;
  readonly entryId: string;
}

function createDeclaration(scenario: Scenario): Declaration {
  return {
    revision: 1,
    deployment: scenario.deployment,
    halls: scenario.halls,
    teams: scenario.teams.map(({ name, weight }) => ({ name, weight })),
    services: [
      {
        kind: 'model',
        name: scenario.model,
        loadBound: scenario.loadBound,
        maxInFlightPerEndpoint: MAX_IN_FLIGHT,
        maxQueueMs: 600,
        defaultDeadlineMs: 120_000,
      },
    ],
  };
}

/** Runs the core of all boxes over a trace. */
class CoreRun {
  readonly tally: Tally;
  private readonly timeline = new Timeline();
  private readonly fleet: EngineFleet;
  private readonly boxes = new Map<string, SimulatedBox>();
  private readonly requests = new Map<string, ActiveRequest>();
  private readonly random;

  constructor(
    private readonly scenario: Scenario,
    private readonly settings: CoreSettings,
    hasher: Hasher,
  ) {
    this.tally = new Tally(scenario);
    this.fleet = new EngineFleet(scenario);
    this.random = createRandom(scenario.seed + 1);
    const declaration = createDeclaration(scenario);
    const parsers = { declared: () => Ok(declaration), boxes: parseBoxList, endpoints: parseEndpointList };
    for (let index = 1; index <= scenario.boxCount; index += 1) {
      const boxId = `box-${String(index).padStart(2, '0')}`;
      const hall = scenario.halls[index % scenario.halls.length] ?? '';
      const deps = { hasher, random: this.random, parsers };
      this.boxes.set(boxId, {
        world: createWorld({ boxId, hall, incarnation: 'k1' }, settings, deps, 0),
        hall,
        watchedEndpointIds: [],
      });
    }
  }

  run(trace: readonly Arrival[]): Tally {
    this.startBoxes();
    for (const change of CHURN) this.timeline.at(change.atMs, () => this.applyChurn(change));
    trace.forEach((arrival, index) =>
      this.timeline.at(arrival.atMs, () => this.handleArrival(arrival, index)),
    );
    this.timeline.every(TICK_INTERVAL_MS, () => this.tickAll());
    this.timeline.every(REPORT_INTERVAL_MS, () => this.reportAll());
    this.timeline.every(SAMPLE_INTERVAL_MS, () =>
      this.tally.sample(this.timeline.nowMs, this.fleet.inService),
    );
    this.timeline.run(this.scenario.durationMs);
    return this.tally;
  }

  private startBoxes(): void {
    const records = [...this.boxes].map(([id, { hall }]) => ({
      id,
      hall,
      peerAddress: '127.0.0.1:1',
      state: 'live',
    }));
    const boxes = JSON.stringify({ version: 1, boxes: records });
    for (const id of this.boxes.keys()) {
      this.runBoxTurn(id, { type: 'valueRead', name: 'declared', text: 'declared' });
      this.runBoxTurn(id, { type: 'valueRead', name: 'boxes', text: boxes });
      this.runBoxTurn(id, { type: 'valueRead', name: 'endpoints', text: this.fleet.writeList() });
      this.runBoxTurn(id, { type: 'platformContact', name: 'boxes', ok: true, requestedAtMs: 0 });
    }
  }

  /** Applies a change of the engines and sends the new list to every box after a random delay of its own. */
  private applyChurn(change: (typeof CHURN)[number]): void {
    this.fleet.apply(change);
    const text = this.fleet.writeList();
    for (const id of this.boxes.keys()) {
      this.timeline.after(this.random() * LIST_LAG_MS, () => {
        this.runBoxTurn(id, { type: 'valueRead', name: 'endpoints', text });
      });
    }
  }

  private tickAll(): void {
    for (const id of this.boxes.keys()) this.runBoxTurn(id, { type: 'tick' });
  }

  /** Sends each box the reports of its watched endpoints; they arrive after the report lag and are outdated by as much. */
  private reportAll(): void {
    for (const [boxId, box] of this.boxes) {
      for (const endpointId of box.watchedEndpointIds) {
        const inFlight = this.fleet.engines.get(endpointId)?.inFlight ?? 0;
        this.tally.controlBytes += REPORT_BYTES;
        this.timeline.after(this.scenario.reportLagMs, () => {
          this.runBoxTurn(boxId, { type: 'endpointReport', endpointId, inFlight, leaving: false });
        });
      }
    }
  }

  /** The load balancer in front of the boxes has no affinity: each turn enters at a random box. */
  private handleArrival(arrival: Arrival, index: number): void {
    const ids = [...this.boxes.keys()];
    const entryId = ids[Math.floor(this.random() * ids.length)] ?? '';
    const requestId = `r${index}`;
    this.requests.set(requestId, { arrival, entryId });
    this.runBoxTurn(entryId, {
      type: 'callerRequest',
      requestId,
      head: {
        kind: 'model',
        service: this.scenario.model,
        team: arrival.team,
        chat: arrival.chat,
        priority: 0,
        remainingMs: 120_000,
        method: 'POST',
        path: '/v1/chat/completions',
        headers: [],
        streamsBody: false,
      },
    });
  }

  private runBoxTurn(boxId: string, event: CoreEvent): void {
    const box = this.boxes.get(boxId);
    if (box === undefined) return;
    const effects = runTurn(box.world, [event], this.timeline.nowMs);
    for (const effect of effects) this.applyEffect(boxId, box, effect);
  }

  private applyEffect(boxId: string, box: SimulatedBox, effect: Effect): void {
    switch (effect.type) {
      case 'send':
        return this.sendFrame(boxId, effect.to, effect.frame);
      case 'broadcast':
        return effect.to.forEach((to) => this.sendFrame(boxId, to, effect.frame));
      case 'watchEndpoints':
        box.watchedEndpointIds = effect.endpoints.map((endpoint) => endpoint.id);
        return;
      case 'dispatch':
        return this.startCall(boxId, effect.requestId, effect.attempt, effect.endpointId);
      case 'refuseCaller':
        this.requests.delete(effect.requestId);
        return this.tally.recordRefusal(effect.refusal.code);
      case 'openKeyed':
      case 'deliverKeyed':
      case 'forgetKeyed':
      case 'connectPeers':
      case 'watchValues':
      case 'confirmValues':
      case 'cancelCall':
      case 'bindRequest':
      case 'count':
      case 'log':
      case 'stopped':
        return;
    }
  }

  private sendFrame(from: string, to: string, frame: ControlFrame): void {
    const bytes = encodeFrame(frame).length;
    if (isControlTraffic(frame)) this.tally.controlBytes += bytes;
    else this.tally.requestBytes += bytes;
    if (frame.type === 'assign' || frame.type === 'place') this.tally.hops += 1;
    const isSameHall = this.boxes.get(from)?.hall === this.boxes.get(to)?.hall;
    this.timeline.after(isSameHall ? HALL_DELAY_MS : REGION_DELAY_MS, () => {
      this.runBoxTurn(to, { type: 'frame', from, frame });
    });
  }

  private startCall(ownerId: string, requestId: string, attempt: number, endpointId: string): void {
    const request = this.requests.get(requestId);
    const engine = this.fleet.engines.get(endpointId);
    if (request === undefined || engine === undefined) return;
    const { arrival, entryId } = request;
    const wasWarm = engine.start(arrival.chat);
    const waitMs = this.timeline.nowMs - arrival.atMs;
    const isQuiet = arrival.team !== this.scenario.teams[0]?.name;
    this.tally.recordStart(this.timeline.nowMs, arrival.isReturning, wasWarm, isQuiet, waitMs);
    this.timeline.after(arrival.outputMs + (wasWarm ? 0 : this.scenario.coldMs), () => {
      engine.end();
      this.requests.delete(requestId);
      this.runBoxTurn(ownerId, {
        type: 'callEnded',
        requestId,
        attempt,
        outcome: { type: 'whole', status: 200 },
      });
      this.runBoxTurn(entryId, { type: 'answerEnded', requestId, attempt });
    });
  }
}

/** Runs one policy over a trace. */
export async function runCore(
  scenario: Scenario,
  policy: RoutingPolicy,
  trace: readonly Arrival[],
  overrides: Partial<CoreSettings> = {},
): Promise<Tally> {
  const settings = { ...DEFAULT_CORE_SETTINGS, policy, ...overrides };
  return new CoreRun(scenario, settings, await createHasher()).run(trace);
}
