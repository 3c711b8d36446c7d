/**
 * What requests pay that share their endpoints with some that crash them: 13 engines, homes of prompts, repeats within a
 * try and by callers, as on the site where it was seen. No innocent request may be held back, whether endpoints crash by a
 * request, by a rack that fails, or by themselves all the time.
 */
import { createRandom, drawExponential, Timeline } from '@hazelwalk/standins';
import { QUARANTINE_THRESHOLD, Quarantine } from '../quarantine.js';

const ENGINES = 13;
const PROMPTS = 40;
const INNOCENT_PER_S = 165;
const MEAN_RUN_MS = 900;
const LEAST_RUN_MS = 100;
const DOWN_MS = 2_500;
/** From the moment at which a crashing request reaches its engine to the crash. */
const CRASH_AFTER_MS = 150;
/** A try reaches two engines, and a caller tries twice. */
const ATTEMPTS = 2;
const TRIES = 2;
/** Boxes in touch for this long know of a crash; a request that has crashed three is sent three times more at most. */
const CONTACT_MS = 3_000;
const MOST_LATE_SENDS = 3;
const DAY_MS = 60_000;
const TICK_MS = 40;
const MS_PER_S = 1_000;

interface Request {
  readonly content: string;
  readonly prompt: number;
  readonly isCrashing: boolean;
}

interface Run {
  readonly request: Request;
  readonly sentAtMs: number;
  readonly tried: readonly number[];
  readonly tries: number;
}

class Site {
  readonly timeline = new Timeline();
  readonly quarantine = new Quarantine(
    () => this.timeline.nowMs,
    () => {},
  );
  readonly heldBack = new Set<string>();
  readonly sends = new Map<string, number[]>();
  /** Engines that crashed while a request was under way there, by when. */
  readonly crashes = new Map<string, number[]>();
  lostEngines = 0;
  private readonly random: () => number;
  private readonly runs = Array.from({ length: ENGINES }, () => new Set<Run>());
  /** Counts the runs of an engine's process; an engine that is down has none. */
  private readonly life: number[] = Array.from({ length: ENGINES }, () => 1);
  private readonly isDown: boolean[] = Array.from({ length: ENGINES }, () => false);
  private count = 0;

  constructor(seed: number) {
    this.random = createRandom(seed);
    this.timeline.every(TICK_MS, () => this.quarantine.tick());
  }

  /** Requests that differ from each other come all day. */
  comeInnocent(): void {
    this.timeline.after(drawExponential(this.random, MS_PER_S / INNOCENT_PER_S), () => {
      this.count += 1;
      const prompt = Math.floor(this.random() * PROMPTS);
      this.send({ content: `innocent-${this.count}`, prompt, isCrashing: false }, [], 1);
      this.comeInnocent();
    });
  }

  /** The same request comes again all day. */
  comeAgain(request: Request, perS: number): void {
    this.timeline.after(drawExponential(this.random, MS_PER_S / perS), () => {
      this.send(request, [], 1);
      this.comeAgain(request, perS);
    });
  }

  /** Engines crash at the same moment. */
  crashTogether(engines: readonly number[]): void {
    const up = engines.filter((engine) => this.isDown[engine] !== true);
    for (const engine of up) this.isDown[engine] = true;
    for (const engine of up) this.breakRuns(engine);
  }

  private breakRuns(engine: number): void {
    const broken = [...(this.runs[engine] ?? [])];
    this.runs[engine]?.clear();
    const nowMs = this.timeline.nowMs;
    const endpointTag = engine * 1_000 + (this.life[engine] ?? 0);
    for (const { request, sentAtMs } of broken) {
      this.quarantine.recordCrash(request.content, {
        endpointTag,
        reporter: 1,
        sentAtMs,
        endedAtMs: nowMs,
        localEndAtMs: nowMs,
      });
    }
    this.lostEngines += 1;
    const crashing = broken.filter(({ request }) => request.isCrashing).map(({ request }) => request.content);
    for (const content of new Set(crashing)) note(this.crashes, content, nowMs);
    for (const { request, tried, tries } of broken) this.goOn(request, [...tried, engine], tries);
    this.timeline.after(DOWN_MS, () => {
      this.isDown[engine] = false;
      this.life[engine] = (this.life[engine] ?? 0) + 1;
    });
  }

  private goOn(request: Request, tried: readonly number[], tries: number): void {
    if (tried.length < ATTEMPTS) this.send(request, tried, tries);
    else if (tries < TRIES) this.send(request, [], tries + 1);
  }

  private send(request: Request, tried: readonly number[], tries: number): void {
    const { quarantine, timeline } = this;
    if (quarantine.readRemainingMs(request.content) > 0) return void this.heldBack.add(request.content);
    const judgedInMs = quarantine.readDecisionDelayMs(request.content);
    if (judgedInMs > 0) return timeline.after(judgedInMs, () => this.send(request, tried, tries));
    const engine = this.choose(request, tried);
    if (engine === undefined) return;
    const run = { request, sentAtMs: timeline.nowMs, tried, tries };
    this.runs[engine]?.add(run);
    note(this.sends, request.content, timeline.nowMs);
    const lastsMs = LEAST_RUN_MS + drawExponential(this.random, MEAN_RUN_MS - LEAST_RUN_MS);
    timeline.after(request.isCrashing ? CRASH_AFTER_MS : lastsMs, () => {
      if (this.runs[engine]?.has(run) !== true) return;
      if (request.isCrashing) return this.crashTogether([engine]);
      this.runs[engine]?.delete(run);
      quarantine.recordSuccess(request.content);
    });
  }

  /** The prompt's home, or the next in its order; any engine where the request is to be kept apart. */
  private choose({ content, prompt }: Request, tried: readonly number[]): number | undefined {
    const up = Array.from({ length: ENGINES }, (_, at) => (prompt * 5 + at) % ENGINES).filter(
      (engine) => this.isDown[engine] !== true && !tried.includes(engine),
    );
    return this.quarantine.mustPlaceRandomly(content) ? up[Math.floor(this.random() * up.length)] : up[0];
  }
}

function note(times: Map<string, number[]>, content: string, nowMs: number): void {
  times.set(content, [...(times.get(content) ?? []), nowMs]);
}

/** Times that a request was sent later than this after the third engine had crashed under it. */
function countLateSends(site: Site, content: string): number {
  const thirdMs = site.crashes.get(content)?.[QUARANTINE_THRESHOLD - 1] ?? Infinity;
  return (site.sends.get(content) ?? []).filter((atMs) => atMs > thirdMs + CONTACT_MS).length;
}

function countInnocent(site: Site): number {
  return [...site.heldBack].filter((content) => content.startsWith('innocent')).length;
}

test.each([1, 2, 3])('requests beside three that crash their engines are not held back (seed %d)', (seed) => {
  const site = new Site(seed);
  site.comeInnocent();
  for (let at = 0; at < 3; at += 1) {
    // The first one comes with the prompt of many others.
    site.comeAgain({ content: `crashing-${at}`, prompt: at * 7, isCrashing: true }, 2);
  }
  site.timeline.run(DAY_MS);
  expect(countInnocent(site)).toBe(0);
  for (const content of site.crashes.keys()) {
    expect(countLateSends(site, content)).toBeLessThanOrEqual(MOST_LATE_SENDS);
  }
});

test.each([4, 5])(
  'a rack that crashes again and again holds back nothing, popular calls included (seed %d)',
  (seed) => {
    const site = new Site(seed);
    site.comeInnocent();
    site.comeAgain({ content: 'innocent-and-popular', prompt: 3, isCrashing: false }, 30);
    for (let atMs = 2_000; atMs < DAY_MS; atMs += 4_000) {
      site.timeline.at(atMs, () => site.crashTogether([0, 1, 2, 3, 4, 5]));
    }
    site.timeline.run(DAY_MS);
    expect(countInnocent(site)).toBe(0);
  },
);
