/**
 * The measured scenarios: the current deployments of the two users, a trace of returning chats for each, and the churn of the
 * engines during the trace.
 */
import type { Random } from '@hazelwalk/standins';
import { createRandom, drawExponential, drawLogNormal } from '@hazelwalk/standins';

/** A user's deployment and the parameters of its trace. */
export interface Scenario {
  readonly deployment: 'lavanda' | 'granja';
  readonly halls: readonly string[];
  readonly model: string;
  readonly loadBound: number;
  readonly teams: readonly { readonly name: string; readonly weight: number; readonly share: number }[];
  readonly boxCount: number;
  readonly engineCount: number;
  readonly durationMs: number;
  /** Statistics start at this time, after caches and directory have filled. */
  readonly warmUpMs: number;
  readonly newChatsPerSecond: number;
  readonly meanTurns: number;
  readonly pauseMedianMs: number;
  readonly outputMeanMs: number;
  readonly coldMs: number;
  readonly cacheChats: number;
  readonly reportLagMs: number;
  readonly seed: number;
}

const TEAM_SHARES = [0.3, 0.15, 0.15, 0.1, 0.08, 0.06, 0.05, 0.05, 0.03, 0.03];
const TEAM_WEIGHTS = [4, 2, 2, 1, 1, 1, 1, 1, 1, 1];

function createTeams(names: readonly string[]): Scenario['teams'] {
  return names.map((name, index) => ({
    name,
    weight: TEAM_WEIGHTS[index] ?? 1,
    share: TEAM_SHARES[index] ?? 0,
  }));
}

const common = {
  boxCount: 8,
  engineCount: 12,
  durationMs: 420_000,
  warmUpMs: 60_000,
  newChatsPerSecond: 20,
  meanTurns: 5,
  pauseMedianMs: 30_000,
  outputMeanMs: 7_000,
  coldMs: 500,
  cacheChats: 600,
  reportLagMs: 2_000,
};

/** The two deployments. */
export const SCENARIOS: readonly Scenario[] = [
  {
    ...common,
    deployment: 'lavanda',
    halls: ['mixco', 'villa-nueva', 'zona-doce', 'antigua'],
    model: 'assistant',
    loadBound: 1.15,
    teams: createTeams(
      'hotel-chain posadas hospital casa-antigua hostal-lago spa-atitlan mercado clinica eventos aeropuerto'.split(
        ' ',
      ),
    ),
    seed: 11,
  },
  {
    ...common,
    deployment: 'granja',
    halls: ['sala-canelones', 'sala-florida', 'sala-colonia'],
    model: 'characters',
    loadBound: 1.6,
    teams: createTeams(
      'montevideo salto paysandu colonia rocha florida durazno tacuarembo rivera maldonado'.split(' '),
    ),
    seed: 12,
  },
];

/** A request: one turn of a chat. */
export interface Arrival {
  readonly atMs: number;
  readonly chat: string;
  readonly team: string;
  readonly isReturning: boolean;
  readonly outputMs: number;
}

/** Between these times the first team starts `factor` times as many chats as usual. */
export const SURGE = { fromMs: 200_000, untilMs: 260_000, factor: 3 } as const;

function pickTeam(scenario: Scenario, random: Random): string {
  let remaining = random();
  for (const team of scenario.teams) {
    remaining -= team.share;
    if (remaining < 0) return team.name;
  }
  return scenario.teams[0]?.name ?? '';
}

function createChat(
  scenario: Scenario,
  random: Random,
  startMs: number,
  chat: string,
  team: string,
): Arrival[] {
  const arrivals: Arrival[] = [];
  let atMs = startMs;
  for (let turn = 0; atMs < scenario.durationMs; turn += 1) {
    const outputMs = drawExponential(random, scenario.outputMeanMs) + 500;
    arrivals.push({ atMs, chat, team, isReturning: turn > 0, outputMs });
    if (random() < 1 / scenario.meanTurns) break;
    atMs += outputMs + drawLogNormal(random, scenario.pauseMedianMs, 0.8);
  }
  return arrivals;
}

/** Creates the trace: chats start at random times and continue after pauses; the first team surges for a while. */
export function createTrace(scenario: Scenario): Arrival[] {
  const random = createRandom(scenario.seed);
  const arrivals: Arrival[] = [];
  const surgingTeam = scenario.teams[0]?.name ?? '';
  const surgeShare = (scenario.teams[0]?.share ?? 0) * (SURGE.factor - 1);
  let chats = 0;
  const addChat = (atMs: number, team: string): void => {
    arrivals.push(...createChat(scenario, random, atMs, `chat-${chats++}`, team));
  };
  for (
    let atMs = 0;
    atMs < scenario.durationMs;
    atMs += drawExponential(random, 1_000 / scenario.newChatsPerSecond)
  ) {
    addChat(atMs, pickTeam(scenario, random));
    const isSurge = atMs >= SURGE.fromMs && atMs < SURGE.untilMs;
    if (isSurge && random() < surgeShare) addChat(atMs, surgingTeam);
  }
  return arrivals.sort((a, b) => a.atMs - b.atMs);
}

/** A change of the endpoint list. */
export interface Churn {
  readonly atMs: number;
  readonly engine: number;
  readonly type: 'join' | 'leaving' | 'remove';
}

/** Changes of the endpoint list during the trace: engines join, leave and flap. */
export const CHURN: readonly Churn[] = [
  { atMs: 90_000, engine: 13, type: 'join' },
  { atMs: 130_000, engine: 3, type: 'leaving' },
  { atMs: 160_000, engine: 3, type: 'remove' },
  { atMs: 190_000, engine: 5, type: 'remove' },
  { atMs: 196_000, engine: 5, type: 'join' },
  { atMs: 204_000, engine: 5, type: 'remove' },
  { atMs: 210_000, engine: 5, type: 'join' },
  { atMs: 290_000, engine: 3, type: 'join' },
  { atMs: 340_000, engine: 8, type: 'leaving' },
  { atMs: 370_000, engine: 8, type: 'remove' },
];

/** A new list reaches every box within this time; until then, boxes use different lists. */
export const LIST_LAG_MS = 3_000;
/** Samples within this time after a change of the list count as churn, not as steady state. */
export const CHURN_WINDOW_MS = 15_000;
