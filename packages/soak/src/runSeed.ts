/** One seed of the soak: a site, callers, faults in series that overlap, a calm end, and the verdict. */
import { createRandom, pause } from '@hazelwalk/standins';
import type { Random } from '@hazelwalk/standins';
import { ask, Caller } from './callers.js';
import type { Violation } from './checks.js';
import { checkPromises } from './checks.js';
import type { FaultKind } from './faults.js';
import { ANNOUNCEMENT_FAULT_KINDS, FAULT_KINDS, FaultInjector, RESTORE_FAULT_KINDS } from './faults.js';
import type { RunRecord, StallRecord } from './ledger.js';
import { Ledger } from './ledger.js';
import { markOf, SoakSite } from './site.js';

/** How large and how long. */
export interface SoakOptions {
  readonly seed: number;
  readonly boxes: number;
  readonly endpointsPerService: number;
  readonly callers: number;
  /** How long faults strike. */
  readonly faultsMs: number;
  /** Whether endpoints also announce in their responses that they leave. */
  readonly hasAnnouncements: boolean;
  /** Whether the store is also restored from backups. */
  readonly hasRestores: boolean;
}

/** What came out. */
export interface SoakResult {
  readonly seed: number;
  readonly requests: number;
  readonly served: number;
  readonly runs: number;
  readonly faults: readonly string[];
  readonly violations: readonly Violation[];
  /** Every run at an endpoint, to trace loads by. */
  readonly runRecords: readonly RunRecord[];
  /** When endpoints stood still. */
  readonly stalls: readonly StallRecord[];
  /** Log of each box. */
  readonly logs: ReadonlyMap<string, readonly string[]>;
}

const START_MS = 3_500;
const LEAST_GAP_MS = 150;
const MOST_GAP_MS = 1_500;
/** Faults that overlap at the most. */
const MOST_AT_ONCE = 4;
/** The last part of the recovery that is judged follows twelve seconds after the last fault. */
const CALM_MS = 14_000;
const PROBE_MS = 300;
const PROBE_DEADLINE_MS = 1_000;
const STATUS_NOT_FOUND = 404;
const STATUS_OK = 200;

/** Runs one seed from start to verdict. */
export async function runSeed(options: SoakOptions): Promise<SoakResult> {
  const random = createRandom(options.seed);
  const ledger = new Ledger();
  const site = new SoakSite(ledger, createNetwork(options.seed));
  const faults: string[] = [];
  try {
    await site.start(options.boxes, options.endpointsPerService);
    await pause(START_MS);
    const stopLoad = startLoad(site, ledger, options, random);
    const kinds = [
      ...FAULT_KINDS,
      ...(options.hasAnnouncements ? ANNOUNCEMENT_FAULT_KINDS : []),
      ...(options.hasRestores ? RESTORE_FAULT_KINDS : []),
    ];
    await strikeFor(options.faultsMs, kinds, new FaultInjector(site, ledger, random), random, faults);
    ledger.events.push({ type: 'faultsOver', atMs: Date.now() });
    await pause(CALM_MS);
    stopLoad();
  } finally {
    await site.close();
  }
  const served = ledger.requests.filter(
    ({ outcome }) => outcome.type === 'answer' && outcome.status === STATUS_OK,
  );
  return {
    seed: options.seed,
    requests: ledger.requests.length,
    served: served.length,
    runs: ledger.runs.length,
    faults,
    violations: checkPromises(ledger),
    runRecords: ledger.runs,
    stalls: ledger.stalls,
    logs: new Map(site.boxes.map((box) => [box.name, box.log])),
  };
}

/** Loopback addresses of a run: of this process and seed alone, so that runs beside each other do not meet. */
function createNetwork(seed: number): string {
  return `127.${1 + (process.pid % 250)}.${1 + (seed % 250)}`;
}

function startLoad(site: SoakSite, ledger: Ledger, options: SoakOptions, random: Random): () => void {
  const callers = Array.from(
    { length: options.callers },
    (_, at) => new Caller(`c${at}`, site.boxes, ledger, createRandom(Math.floor(random() * 2 ** 31))),
  );
  for (const caller of callers) void caller.run();
  const prober = setInterval(() => void probeAll(site, ledger), PROBE_MS);
  return () => {
    clearInterval(prober);
    for (const caller of callers) caller.close();
  };
}

async function probeAll(site: SoakSite, ledger: Ledger): Promise<void> {
  await Promise.all(
    site.boxes.map(async (box) => {
      const { version } = site;
      const { life } = box;
      const sentAtMs = Date.now();
      const requestId = `probe-${box.name}-${sentAtMs}`;
      ledger.probeRequests.push({ requestId, box: box.name, sentAtMs });
      const outcome = await ask(box, `/${markOf(version)}/x`, requestId, PROBE_DEADLINE_MS, false);
      // A newer version drops the route; an answer from another life tells nothing of this one.
      if (version !== site.version || life !== box.life || outcome.type !== 'answer') return;
      const isAbsent = outcome.status === STATUS_NOT_FOUND;
      if (!isAbsent && outcome.status !== STATUS_OK) return;
      ledger.probes.push({ box: box.name, life, version, sentAtMs, isInForce: !isAbsent });
    }),
  );
}

/** Strikes for a while, several faults at once, and waits until all are over. */
async function strikeFor(
  durationMs: number,
  kinds: readonly FaultKind[],
  injector: FaultInjector,
  random: Random,
  told: string[],
): Promise<void> {
  const begunAtMs = Date.now();
  const under = new Set<Promise<void>>();
  while (Date.now() - begunAtMs < durationMs) {
    if (under.size < MOST_AT_ONCE) {
      const kind = kinds[Math.floor(random() * kinds.length)] as FaultKind;
      told.push(`${Date.now() - begunAtMs} ms ${kind}`);
      const strike: Promise<void> = injector.strike(kind).finally(() => under.delete(strike));
      under.add(strike);
    }
    await pause(LEAST_GAP_MS + random() * (MOST_GAP_MS - LEAST_GAP_MS));
  }
  await Promise.all(under);
}
