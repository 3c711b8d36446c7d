import { Timeline } from '@hazelwalk/standins';
import { RoomWatch } from '../../capacity/roomWatch.js';
import type { FeatureName } from '../../featureSwitches.js';
import { createFeatureSet, FeatureSwitches } from '../../featureSwitches.js';
import type { AdmissionDecision, AdmissionRequest } from '../admission.js';
import type { LoadSheddingDecision } from '../loadShedding.js';
import type { AttemptEnd } from '../../proxy/attemptEnd.js';
import { findSlotOutcome } from '../../proxy/attemptEnd.js';
import { ServiceAdmission } from '../serviceAdmission.js';
import type { SlotApplication } from '../slotClient.js';
import type { SlotUseOutcome } from '../slotMessages.js';

const request: AdmissionRequest = {
  service: 'app',
  rank: 1,
  team: 'hotel',
  isOnce: true,
  hasPrompt: false,
  arrivedAtMs: 0,
  targetAtMs: 200,
  expiresAtMs: 1_000,
  readContent: () => {
    throw new Error('the fingerprint is not needed');
  },
  listPreferred: () => [1],
  listExcluded: () => [],
};

/** A gate whose slots are never answered and whose load shedding decides as told. */
class Gate {
  readonly timeline = new Timeline();
  readonly room = new RoomWatch();
  readonly applications: SlotApplication[] = [];
  readonly released: SlotUseOutcome[] = [];
  readonly decisions: AdmissionDecision[] = [];
  shed: LoadSheddingDecision[] = [];
  slots = 20;
  isBrittle = false;
  waiting = 0;
  withdrawn = 0;
  readonly ended: number[] = [];
  readonly features = new FeatureSwitches();
  readonly gate = new ServiceAdmission({
    features: this.features,
    room: this.room,
    slots: {
      apply: (application) => {
        this.applications.push(application);
        return { release: (outcome) => this.released.push(outcome) };
      },
    },
    shedding: {
      updateRoom: () => {},
      decide: () => this.shed.shift() ?? { type: 'admit' },
      readAdmittedShare: () => 1,
      withdraw: () => (this.withdrawn += 1),
      recordEnd: (_service, tookMs) => this.ended.push(tookMs),
      retain: () => {},
    },
    sheddingLog: { recordShare: () => {}, recordRejected: () => {} },
    describeService: () => ({ endpoints: 2, slots: this.slots, isBrittle: this.isBrittle }),
    now: () => this.timeline.nowMs,
    schedule: (delayMs, callback) => {
      let isCancelled = false;
      this.timeline.after(delayMs, () => !isCancelled && callback());
      return () => (isCancelled = true);
    },
    onWaiting: (_service, change) => (this.waiting += change),
  });

  enter(changes: Partial<AdmissionRequest> = {}): ReturnType<ServiceAdmission['enter']> {
    return this.gate.enter({ ...request, ...changes }, (decision) => this.decisions.push(decision));
  }
}

const PROCEED = { type: 'proceed', endpointTag: undefined, basis: { type: 'unlimited' } };
const GRANTED = {
  type: 'proceed',
  endpointTag: 7,
  basis: { type: 'granted', grant: { askedAtMs: 0, usableUntilMs: Infinity, grantedAtMs: 0 } },
} as const;

test('ample room: a request proceeds at once, without a slot and without a fingerprint', () => {
  const gate = new Gate();
  gate.enter().release('served');
  expect(gate.decisions).toEqual([PROCEED]);
  expect(gate.applications).toEqual([]);
});

test('small service short of room: a request waits for a slot, and its latest start leaves time to run', () => {
  const gate = new Gate();
  gate.room.recordRefusal('app', 0);
  const admission = gate.enter();
  expect(gate.decisions).toEqual([]);
  expect(gate.waiting).toBe(1);
  expect(gate.applications[0]?.latestStartAtMs).toBe(900);
  gate.applications[0]?.onDecision(GRANTED);
  expect(gate.decisions).toEqual([GRANTED]);
  expect(gate.waiting).toBe(0);
  gate.timeline.run(30);
  admission.release('served');
  expect(gate.released).toEqual(['served']);
  gate.enter();
  expect(gate.applications[1]?.latestStartAtMs).toBe(970);
});

test('caller leaves while its request waits for a slot: it is withdrawn and no longer counted', () => {
  const gate = new Gate();
  gate.room.recordRefusal('app', 0);
  gate.enter().release('unused');
  expect([gate.waiting, gate.released]).toEqual([0, ['unused']]);
});

test('no endpoint that the request can use: it proceeds at once, so that placement refuses it with the reason', () => {
  const gate = new Gate();
  gate.room.recordRefusal('app', 0);
  gate.enter({ listExcluded: () => [1, 2] });
  expect(gate.decisions).toEqual([PROCEED]);
});

/** Guards against prompts that make brittle engines fall over: 18 falls where 2 were allowed. */
test('brittle service short of room: prompts get slots as well', () => {
  const gate = new Gate();
  gate.room.recordRefusal('app', 0);
  gate.enter({ hasPrompt: true });
  expect(gate.applications).toEqual([]);
  gate.isBrittle = true;
  gate.enter({ hasPrompt: true });
  gate.slots = 4_000;
  gate.enter({ hasPrompt: true });
  expect(gate.applications.length).toBe(2);
});

test('large service short of room: a request waits in its box and is decided about again, then rejected', () => {
  const gate = new Gate();
  gate.slots = 300;
  gate.room.recordRefusal('app', 0);
  gate.shed = [
    { type: 'wait', forMs: 20 },
    { type: 'wait', forMs: 20 },
    { type: 'reject', retryAfterMs: 400 },
  ];
  gate.enter();
  gate.timeline.run(39);
  expect([gate.decisions, gate.waiting]).toEqual([[], 1]);
  gate.timeline.run(41);
  expect([gate.decisions, gate.waiting]).toEqual([[{ type: 'reject', retryAfterMs: 400 }], 0]);
});

test('caller leaves while its request waits in the box: it is not decided about again', () => {
  const gate = new Gate();
  gate.slots = 300;
  gate.room.recordRefusal('app', 0);
  gate.shed = [{ type: 'wait', forMs: 20 }];
  gate.enter().release('unused');
  gate.timeline.run(100);
  expect([gate.decisions, gate.waiting, gate.withdrawn]).toEqual([[], 0, 1]);
});

test('large service short of room: load shedding hears how long a served request took', () => {
  const gate = new Gate();
  gate.slots = 300;
  gate.room.recordRefusal('app', 0);
  const admission = gate.enter();
  gate.timeline.run(30);
  admission.release('served');
  expect([gate.ended, gate.withdrawn]).toEqual([[30], 0]);
});

test.each<[FeatureName, number]>([
  ['slotScheduling', 20],
  ['loadShedding', 300],
])('short of room with %s turned off: a request proceeds as before', (feature, slots) => {
  const gate = new Gate();
  gate.slots = slots;
  gate.shed = [{ type: 'reject', retryAfterMs: 400 }];
  gate.features.replace({ ...createFeatureSet(true), [feature]: false });
  gate.room.recordRefusal('app', 0);
  gate.enter();
  expect(gate.decisions).toEqual([PROCEED]);
});

test.each<[AttemptEnd, boolean, boolean, SlotUseOutcome]>([
  ['whole', true, false, 'served'],
  ['errored', true, false, 'served'],
  ['broken', true, false, 'failed'],
  ['caller left', true, false, 'abandoned'],
  ['caller left', false, false, 'unused'],
  ['connectRefused', false, false, 'unused'],
  ['notRun', true, true, 'refused'],
  ['notRun', true, false, 'failed'],
])(
  'attempt that ended as %s (sent: %s, refused for lack of room: %s) releases its slot as %s',
  (end, wasSent, lacksRoom, outcome) => {
    expect(findSlotOutcome({ end, wasSent, lacksRoom })).toBe(outcome);
  },
);
