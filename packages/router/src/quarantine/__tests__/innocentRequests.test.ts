/**
 * Guards against quarantining requests that only shared endpoints with requests that crash them: 13 engines, preferred
 * endpoints of prompts, retries by the router and by callers, as on the site where this was observed. No innocent request
 * may be quarantined, whether engines crash because of a request, with their rack, or all the time by themselves.
 */
import { createRandom, drawExponential, Timeline } from '@hazelwalk/standins';
import { Quarantine, QUARANTINE_THRESHOLD } from '../quarantine.js';

const ENGINES = 13;
const PROMPTS = 40;
const INNOCENT_PER_S = 165;
const MEAN_RUN_MS = 900;
const LEAST_RUN_MS = 100;
const DOWN_MS = 2_500;
/** From the arrival of a crashing request at its engine to the crash. */
const CRASH_AFTER_MS = 150;
/** Engines that one call is sent to, and calls that a caller makes. */
const ATTEMPTS = 2;
const CALLS = 2;
/** Connected boxes have received the report of a crash after this time. */
const REPORTED_MS = 3_000;
/** How often a request may still be sent later than that after it crashed three engines. */
const MAX_LATE_SENDS = 3;
const DAY_MS = 60_000;
const TICK_MS = 40;
const MS_PER_S = 1_000;

interface Request {
  readonly fingerprint: string;
  readonly prompt: number;
  readonly isCrashing: boolean;
}

interface Run {
  readonly request: Request;
  readonly sentAtMs: number;
  readonly tried: readonly number[];
  readonly calls: number;
}

class Site {
  readonly timeline = new Timeline();
  readonly quarantine = new Quarantine(
    () => this.timeline.nowMs,
    () => {},
  );
  readonly quarantined = new Set<string>();
  readonly sends = new Map<string, number[]>();
  /** Times at which engines crashed because of a request, by its fingerprint. */
  readonly crashes = new Map<string, number[]>();
  crashCount = 0;
  private readonly random: () => number;
  private readonly runs = Array.from({ length: ENGINES }, () => new Set<Run>());
  /** Number of the current process of each engine. */
  private readonly incarnations: number[] = Array.from({ length: ENGINES }, () => 1);
  private readonly isDown: boolean[] = Array.from({ length: ENGINES }, () => false);
  private count = 0;

  constructor(seed: number) {
    this.random = createRandom(seed);
    this.timeline.every(TICK_MS, () => this.quarantine.tick());
  }

  /** Sends distinct innocent requests until the end of the run. */
  keepSendingInnocent(): void {
    this.timeline.after(drawExponential(this.random, MS_PER_S / INNOCENT_PER_S), () => {
      this.count += 1;
      const prompt = Math.floor(this.random() * PROMPTS);
      this.send({ fingerprint: `innocent-${this.count}`, prompt, isCrashing: false }, [], 1);
      this.keepSendingInnocent();
    });
  }

  /** Sends the same request again and again until the end of the run. */
  keepSending(request: Request, perS: number): void {
    this.timeline.after(drawExponential(this.random, MS_PER_S / perS), () => {
      this.send(request, [], 1);
      this.keepSending(request, perS);
    });
  }

  /** Crashes engines at the same moment. */
  crashTogether(engines: readonly number[]): void {
    const up = engines.filter((engine) => this.isDown[engine] !== true);
    for (const engine of up) this.isDown[engine] = true;
    for (const engine of up) this.breakRuns(engine);
  }

  private breakRuns(engine: number): void {
    const broken = [...(this.runs[engine] ?? [])];
    this.runs[engine]?.clear();
    const nowMs = this.timeline.nowMs;
    const endpointTag = engine * 1_000 + (this.incarnations[engine] ?? 0);
    for (const { request, sentAtMs } of broken) {
      this.quarantine.recordCrash(request.fingerprint, {
        endpointTag,
        reporter: 1,
        sentAtMs,
        endedAtMs: nowMs,
        localEndAtMs: nowMs,
      });
    }
    this.crashCount += 1;
    const crashing = broken
      .filter(({ request }) => request.isCrashing)
      .map(({ request }) => request.fingerprint);
    for (const fingerprint of new Set(crashing)) addTime(this.crashes, fingerprint, nowMs);
    for (const { request, tried, calls } of broken) this.retry(request, [...tried, engine], calls);
    this.timeline.after(DOWN_MS, () => {
      this.isDown[engine] = false;
      this.incarnations[engine] = (this.incarnations[engine] ?? 0) + 1;
    });
  }

  private retry(request: Request, tried: readonly number[], calls: number): void {
    if (tried.length < ATTEMPTS) this.send(request, tried, calls);
    else if (calls < CALLS) this.send(request, [], calls + 1);
  }

  private send(request: Request, tried: readonly number[], calls: number): void {
    const { quarantine, timeline } = this;
    if (quarantine.readRemainingMs(request.fingerprint) > 0)
      return void this.quarantined.add(request.fingerprint);
    const delayMs = quarantine.readDecisionDelayMs(request.fingerprint);
    if (delayMs > 0) return timeline.after(delayMs, () => this.send(request, tried, calls));
    const engine = this.choose(request, tried);
    if (engine === undefined) return;
    const run = { request, sentAtMs: timeline.nowMs, tried, calls };
    this.runs[engine]?.add(run);
    addTime(this.sends, request.fingerprint, timeline.nowMs);
    const durationMs = LEAST_RUN_MS + drawExponential(this.random, MEAN_RUN_MS - LEAST_RUN_MS);
    timeline.after(request.isCrashing ? CRASH_AFTER_MS : durationMs, () => {
      if (this.runs[engine]?.has(run) !== true) return;
      if (request.isCrashing) return this.crashTogether([engine]);
      this.runs[engine]?.delete(run);
      quarantine.recordSuccess(request.fingerprint);
    });
  }

  /** The preferred engine of the prompt or the next in its order; a random one if the request must be placed randomly. */
  private choose({ fingerprint, prompt }: Request, tried: readonly number[]): number | undefined {
    const up = Array.from({ length: ENGINES }, (_, at) => (prompt * 5 + at) % ENGINES).filter(
      (engine) => this.isDown[engine] !== true && !tried.includes(engine),
    );
    return this.quarantine.mustPlaceRandomly(fingerprint) ? up[Math.floor(this.random() * up.length)] : up[0];
  }
}

function addTime(times: Map<string, number[]>, fingerprint: string, nowMs: number): void {
  times.set(fingerprint, [...(times.get(fingerprint) ?? []), nowMs]);
}

/** How often a request was sent later than `REPORTED_MS` after the third engine crashed because of it. */
function countLateSends(site: Site, fingerprint: string): number {
  const thirdMs = site.crashes.get(fingerprint)?.[QUARANTINE_THRESHOLD - 1] ?? Infinity;
  return (site.sends.get(fingerprint) ?? []).filter((atMs) => atMs > thirdMs + REPORTED_MS).length;
}

function countQuarantinedInnocent(site: Site): number {
  return [...site.quarantined].filter((fingerprint) => fingerprint.startsWith('innocent')).length;
}

test.each([1, 2, 3])('requests that run beside three crashing ones are not quarantined (seed %d)', (seed) => {
  const site = new Site(seed);
  site.keepSendingInnocent();
  for (let at = 0; at < 3; at += 1) {
    // The first one has the prompt of many others.
    site.keepSending({ fingerprint: `crashing-${at}`, prompt: at * 7, isCrashing: true }, 2);
  }
  site.timeline.run(DAY_MS);
  expect(countQuarantinedInnocent(site)).toBe(0);
  for (const fingerprint of site.crashes.keys()) {
    expect(countLateSends(site, fingerprint)).toBeLessThanOrEqual(MAX_LATE_SENDS);
  }
});

test.each([4, 5])(
  'repeated crashes of a rack quarantine no request, not even a popular one (seed %d)',
  (seed) => {
    const site = new Site(seed);
    site.keepSendingInnocent();
    site.keepSending({ fingerprint: 'innocent-and-popular', prompt: 3, isCrashing: false }, 30);
    for (let atMs = 2_000; atMs < DAY_MS; atMs += 4_000) {
      site.timeline.at(atMs, () => site.crashTogether([0, 1, 2, 3, 4, 5]));
    }
    site.timeline.run(DAY_MS);
    expect(countQuarantinedInnocent(site)).toBe(0);
  },
);
