/** Runs one seed of the soak: starts a site and callers, injects overlapping faults, waits for recovery and runs the checks. */
import { readMonotonicMs } from '@hazelwalk/platform/standins';
import { createRandom, pause } from '@hazelwalk/standins';
import type { Random } from '@hazelwalk/standins';
import { BrittleLoad } from './brittleLoad.js';
import { Caller, SCARCE_SHARES, sendRequest, startHarmfulCaller } from './callers.js';
import { checkGuarantees } from './checks.js';
import type { FaultKind } from './faults.js';
import {
  ANNOUNCEMENT_FAULT_KINDS,
  BRITTLE_FAULT_KINDS,
  CUT_FAULT_KINDS,
  SILENCE_FAULT_KINDS,
  FAULT_KINDS,
  FaultInjector,
  RESTORE_FAULT_KINDS,
  STOP_FAULT_KINDS,
} from './faults.js';
import { LastingCaller } from './lastingCaller.js';
import type { CallerRecord, RunRecord, StallRecord } from './ledger.js';
import { Ledger } from './ledger.js';
import { SoakSite, versionRouteName } from './site.js';
import { SCARCE_SLOTS } from './siteRoutes.js';
import type { Violation } from './violation.js';
import { isServed } from './violation.js';

/** Size and duration of a run. */
export interface SoakOptions {
  readonly seed: number;
  readonly boxes: number;
  readonly endpointsPerService: number;
  readonly callers: number;
  /** How long new faults are started. */
  readonly faultsMs: number;
  /** Whether endpoints also announce in their responses that they leave, and ask for back-offs. */
  readonly hasAnnouncements: boolean;
  /** Whether the store is also restored from a backup. */
  readonly hasRestores: boolean;
  /** Whether boxes are also cut off from all endpoints. */
  readonly hasCuts: boolean;
  /** Whether the store is also silent for some boxes beside releases and crashes, and streams bring bytes without end. */
  readonly hasSilences: boolean;
  /** Whether there is also a service with too few slots for its callers, and routes of different priority. */
  readonly isScarce: boolean;
  /** Whether endpoints of two software versions serve side by side, and callers take up streams that break off. */
  readonly hasVersions: boolean;
  /** Whether callers send requests with a part that crashes endpoints. */
  readonly hasHarmfulParts: boolean;
  /** Whether boxes are stopped again and again, without other faults, under callers that keep their connections. */
  readonly hasStops: boolean;
  /** Whether there is also a service whose endpoints do not survive many rejections; a third of the boxes is starved at once. */
  readonly isBrittle: boolean;
  /** Multiple of that service's room that is asked for; undefined if it changes. */
  readonly brittleLoad: number | undefined;
}

/** Result of one seed. */
export interface SoakResult {
  readonly seed: number;
  readonly requests: readonly CallerRecord[];
  readonly served: number;
  readonly runs: number;
  readonly faults: readonly string[];
  readonly violations: readonly Violation[];
  /** All runs at endpoints, to reconstruct their loads. */
  readonly runRecords: readonly RunRecord[];
  /** Spans in which processes of endpoints did not run. */
  readonly stalls: readonly StallRecord[];
  /** Log lines of each box. */
  readonly logs: ReadonlyMap<string, readonly string[]>;
}

const GRACE_S = 8;
/** Grace times of the seeds in turn, where boxes are stopped again and again. */
const STOP_GRACES_S = [8, 2, 4, 12] as const;
const STARTUP_WAIT_MS = 3_500;
const MIN_FAULT_GAP_MS = 150;
const MAX_FAULT_GAP_MS = 1_500;
const MAX_CONCURRENT_FAULTS = 4;
/** Recovery is checked from twelve seconds after the last fault on; the rest of the time provides requests for the check. */
const RECOVERY_WAIT_MS = 14_000;
/** Callers for each slot of the service with few slots: more than it serves, also with a slow endpoint. */
const CALLERS_PER_SCARCE_SLOT = 3;
/** Time after which boxes have to respect what brittle endpoints announce. */
const ANNOUNCED_MS = 4_000;
const PROBE_INTERVAL_MS = 300;
const PROBE_DEADLINE_MS = 1_000;
const STATUS_NOT_FOUND = 404;
const STATUS_OK = 200;

/** Runs one seed and checks the guarantees. */
export async function runSeed(options: SoakOptions): Promise<SoakResult> {
  const random = createRandom(options.seed);
  const ledger = new Ledger();
  const graceS = options.hasStops ? (STOP_GRACES_S[options.seed % STOP_GRACES_S.length] ?? GRACE_S) : GRACE_S;
  const site = new SoakSite(ledger, createNetwork(options.seed), { ...options, graceS });
  const faults: string[] = [];
  try {
    await site.start(options.boxes, options.endpointsPerService);
    await pause(STARTUP_WAIT_MS);
    const stopLoad = startLoad(site, ledger, options, random);
    const kinds = [
      ...selectFaultKinds(options),
      ...(options.hasAnnouncements ? ANNOUNCEMENT_FAULT_KINDS : []),
      ...(options.hasRestores ? RESTORE_FAULT_KINDS : []),
      ...(options.hasCuts ? CUT_FAULT_KINDS : []),
      ...(options.hasSilences ? SILENCE_FAULT_KINDS : []),
    ];
    const injector = new FaultInjector(site, ledger, random);
    if (options.isBrittle) await pause(ANNOUNCED_MS);
    // One fault at a time: the effects of two would mix, and enough boxes have to stay up.
    const mostFaults = options.isBrittle ? 1 : MAX_CONCURRENT_FAULTS;
    await injectFaults(options.faultsMs, mostFaults, kinds, injector, random, faults);
    ledger.events.push({ type: 'faultsOver', atMs: readMonotonicMs() });
    await pause(RECOVERY_WAIT_MS);
    stopLoad();
  } finally {
    await site.close();
  }
  const served = ledger.requests.filter(isServed);
  return {
    seed: options.seed,
    requests: ledger.requests,
    served: served.length,
    runs: ledger.runs.length,
    faults,
    violations: checkGuarantees(ledger),
    runRecords: ledger.runs,
    stalls: ledger.stalls,
    logs: new Map(site.boxes.map((box) => [box.name, box.log])),
  };
}

/** Prefix of the loopback addresses of a run. It depends on process id and seed, so that concurrent runs rarely share addresses. */
function createNetwork(seed: number): string {
  return `127.${1 + (process.pid % 250)}.${1 + (seed % 250)}`;
}

function selectFaultKinds({ hasStops, isBrittle }: SoakOptions): readonly FaultKind[] {
  if (isBrittle) return BRITTLE_FAULT_KINDS;
  return hasStops ? STOP_FAULT_KINDS : FAULT_KINDS;
}

function startLoad(site: SoakSite, ledger: Ledger, options: SoakOptions, random: Random): () => void {
  const callers = Array.from({ length: options.callers }, (_, at) => {
    const callerRandom = createRandom(Math.floor(random() * 2 ** 31));
    const habits = { takesUpStreams: options.hasVersions, hasOwnBodies: options.hasHarmfulParts };
    return new Caller(`c${at}`, site.boxes, ledger, callerRandom, undefined, habits);
  });
  const scarceCount = options.isScarce
    ? options.endpointsPerService * SCARCE_SLOTS * CALLERS_PER_SCARCE_SLOT
    : 0;
  for (let at = 0; at < scarceCount; at += 1) {
    const callerRandom = createRandom(Math.floor(random() * 2 ** 31));
    callers.push(new Caller(`s${at}`, site.boxes, ledger, callerRandom, SCARCE_SHARES));
  }
  for (const caller of callers) void caller.run();
  const lasting = Array.from({ length: options.hasStops ? options.callers : 0 }, (_, at) => {
    const callerRandom = createRandom(Math.floor(random() * 2 ** 31));
    return new LastingCaller(`l${at}`, site.boxes, ledger, callerRandom);
  });
  for (const caller of lasting) void caller.run();
  const stopHarmful = options.hasHarmfulParts
    ? startHarmfulCaller(site.boxes, ledger, createRandom(options.seed))
    : () => {};
  const brittleRandom = createRandom(options.seed + 1);
  const { endpointsPerService, brittleLoad: fixedLoad } = options;
  const brittleLoad = new BrittleLoad(site.boxes, ledger, brittleRandom, endpointsPerService, fixedLoad);
  if (options.isBrittle) brittleLoad.run();
  const prober = setInterval(() => void probeAll(site, ledger), PROBE_INTERVAL_MS);
  return () => {
    clearInterval(prober);
    stopHarmful();
    for (const caller of [...callers, ...lasting, brittleLoad]) caller.close();
  };
}

async function probeAll(site: SoakSite, ledger: Ledger): Promise<void> {
  await Promise.all(
    site.boxes.map(async (box) => {
      const { version } = site;
      const { incarnation } = box;
      const sentAtMs = readMonotonicMs();
      const requestId = `probe-${box.name}-${sentAtMs}`;
      ledger.probeRequests.push({ requestId, box: box.name, sentAtMs });
      const path = `/${versionRouteName(version)}/x`;
      const outcome = await sendRequest(box, { path, requestId, deadlineMs: PROBE_DEADLINE_MS }, false);
      // A newer version no longer has the route, and a restarted box may have answered instead of the probed incarnation.
      if (version !== site.version || incarnation !== box.incarnation || outcome.type !== 'answer') return;
      const isAbsent = outcome.status === STATUS_NOT_FOUND;
      if (!isAbsent && outcome.status !== STATUS_OK) return;
      ledger.probes.push({ box: box.name, life: incarnation, version, sentAtMs, isInForce: !isAbsent });
    }),
  );
}

/** Starts faults at random intervals for a while, several at once, and waits until all have ended. */
async function injectFaults(
  durationMs: number,
  mostFaults: number,
  kinds: readonly FaultKind[],
  injector: FaultInjector,
  random: Random,
  faultLog: string[],
): Promise<void> {
  const startedAtMs = readMonotonicMs();
  const activeFaults = new Set<Promise<void>>();
  while (readMonotonicMs() - startedAtMs < durationMs) {
    if (activeFaults.size < mostFaults) {
      const kind = kinds[Math.floor(random() * kinds.length)] as FaultKind;
      faultLog.push(`${readMonotonicMs() - startedAtMs} ms ${kind}`);
      const fault: Promise<void> = injector.inject(kind).finally(() => activeFaults.delete(fault));
      activeFaults.add(fault);
    }
    await pause(MIN_FAULT_GAP_MS + random() * (MAX_FAULT_GAP_MS - MIN_FAULT_GAP_MS));
  }
  await Promise.all(activeFaults);
}
