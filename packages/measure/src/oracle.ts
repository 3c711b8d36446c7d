/**
 * The oracle: a single router with exact knowledge of all loads and caches, run on the same trace. The cache reuse of the policies
 * is compared with the reuse that it reaches.
 */
import { EngineFleet } from './fleet.js';
import { Timeline } from '@hazelwalk/standins';
import type { Arrival, Scenario } from './scenario.js';
import { CHURN } from './scenario.js';
import type { SimulatedEngine } from './simulatedEngine.js';
import { Tally } from './tally.js';

const SAMPLE_INTERVAL_MS = 1_000;

function pickLeastLoaded(engines: readonly SimulatedEngine[]): SimulatedEngine | undefined {
  return engines.reduce<SimulatedEngine | undefined>(
    (best, engine) => (best === undefined || engine.inFlight < best.inFlight ? engine : best),
    undefined,
  );
}

/** Returns the least loaded engine that has cached the chat and is within the load bound, otherwise the least loaded engine. */
function pickEngine(scenario: Scenario, fleet: EngineFleet, chat: string): SimulatedEngine | undefined {
  const engines = fleet.inService;
  const total = engines.reduce((sum, engine) => sum + engine.inFlight, 0);
  const cap = Math.ceil((scenario.loadBound * (total + 1)) / engines.length);
  const warm = engines.filter((engine) => engine.hasCached(chat) && engine.inFlight + 1 <= cap);
  return pickLeastLoaded(warm) ?? pickLeastLoaded(engines);
}

/** Runs the oracle over a trace. */
export function runOracle(scenario: Scenario, trace: readonly Arrival[]): Tally {
  const timeline = new Timeline();
  const fleet = new EngineFleet(scenario);
  const tally = new Tally(scenario);
  for (const change of CHURN) timeline.at(change.atMs, () => fleet.apply(change));
  for (const arrival of trace) {
    timeline.at(arrival.atMs, () => {
      const engine = pickEngine(scenario, fleet, arrival.chat);
      if (engine === undefined) return;
      const wasWarm = engine.start(arrival.chat);
      tally.recordStart(timeline.nowMs, arrival.isReturning, wasWarm, false, 0);
      timeline.after(arrival.outputMs + (wasWarm ? 0 : scenario.coldMs), () => engine.end());
    });
  }
  timeline.every(SAMPLE_INTERVAL_MS, () => tally.sample(timeline.nowMs, fleet.inService));
  timeline.run(scenario.durationMs);
  return tally;
}
