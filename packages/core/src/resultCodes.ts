/**
 * The numbered result codes of all refusals, failures and configuration errors.
 *
 * 1xxx settings and declared files, 2xxx refusals of a caller's request, 3xxx failures of a response,
 * 4xxx frames between boxes. A test checks that the table in docs/RESULT-CODES.md matches this one.
 */

/** Whether a refused or failed request ran at its endpoint. `unknown` unless it provably did not run. */
export type Ran = 'no' | 'unknown';

/** Number, HTTP status and texts of one result code. */
export interface ResultCodeInfo {
  /** Stable number, shown to callers and operators. */
  readonly number: number;
  /** HTTP status of the response to the caller; 0 for codes that are never sent to callers. */
  readonly httpStatus: number;
  /** What happened, in one line. */
  readonly title: string;
  /** What to do about it, in one line. */
  readonly action: string;
}

const info = (number: number, httpStatus: number, title: string, action: string): ResultCodeInfo => ({
  number,
  httpStatus,
  title,
  action,
});

/** Every result code by name. */
export const RESULT_CODES = {
  settingsUnreadable: info(
    1001,
    0,
    'The settings file cannot be read',
    'Check the path and its permissions.',
  ),
  settingsInvalid: info(1002, 0, 'A setting is unknown or impossible', 'Correct the named field.'),
  addressClash: info(1003, 0, 'Two addresses of the box are the same', 'Give each listener its own address.'),
  addressInUse: info(1004, 0, 'An address cannot be bound', 'Free the address or choose another.'),
  fileNotToml: info(1101, 0, 'The file is not TOML', 'Correct the syntax at the named line.'),
  fileInvalid: info(1102, 0, 'The file does not fit the schema', 'Correct the named field.'),
  fileReference: info(
    1103,
    0,
    'The file names something it does not declare',
    'Declare it or correct the name.',
  ),
  fileTooLarge: info(1104, 0, 'The file is larger than the platform holds', 'Stay under 1 MB.'),
  listInvalid: info(1105, 0, 'A published list does not fit its schema', 'Correct the list in the platform.'),
  listUndecodable: info(1107, 0, 'A published value cannot be decoded', 'Correct the value in the platform.'),
  platformUnavailable: info(1108, 0, 'The platform gave no usable answer', 'Look at the platform.'),
  revisionConflict: info(
    1106,
    0,
    'Two different files carry one revision',
    'Publish again with a higher revision.',
  ),
  badUsage: info(1201, 0, 'The command line is wrong', 'See --help.'),
  boxUnreachable: info(
    1202,
    0,
    'A box does not answer on its admin address',
    'Check the address and the box.',
  ),
  notInForce: info(1203, 0, 'The revision was not in force in time', 'Look at `hazelwalk status`.'),

  malformedRequest: info(
    2001,
    400,
    'The request is malformed',
    'Correct the request; do not repeat it as is.',
  ),
  bodyTooLarge: info(2002, 413, 'The body is too large', 'Send less.'),
  headersTooLarge: info(2003, 431, 'The headers are too large', 'Send less.'),
  unknownTeam: info(2004, 403, 'The team is not declared', 'Use a declared team.'),
  unknownService: info(2005, 404, 'The service is not declared', 'Use a declared service.'),
  unknownModel: info(2006, 404, 'The model is not declared', 'Use a declared model.'),
  notFound: info(2007, 404, 'There is nothing at this path', 'See the interface page.'),
  overBound: info(2008, 503, 'Every engine is at its load bound', 'Come back after Retry-After.'),
  overloaded: info(2009, 503, 'The expected wait is longer than allowed', 'Come back after Retry-After.'),
  teamLimit: info(2010, 429, 'The team is at its limit', 'Come back after Retry-After.'),
  noEndpoint: info(2011, 503, 'No endpoint of the service can be reached', 'Come back after Retry-After.'),
  stopping: info(2012, 503, 'The box is stopping', 'Ask another box.'),
  notReady: info(2013, 503, 'The box has no configuration yet', 'Come back after Retry-After.'),
  deadlineTooShort: info(2014, 503, 'The deadline cannot be met', 'Allow more time or come back later.'),
  retryBudget: info(2015, 503, 'The retry budget of the service is spent', 'Come back after Retry-After.'),
  connectFailed: info(2016, 502, 'The endpoint could not be reached', 'Come back after Retry-After.'),
  keyUnsure: info(
    2017,
    503,
    'The owner of the key cannot be sure of it',
    'See `ran`; a ticket needs no owner.',
  ),
  keyAhead: info(2018, 400, 'The time in the key lies ahead', 'Set the clock.'),
  keyMalformed: info(2019, 400, 'The key is neither a ticket nor a UUID of version 7', 'Use one of these.'),
  keyReused: info(2020, 422, 'The key belongs to a call of another service', 'Use a new key.'),
  routeUnknown: info(2021, 404, 'No route leads here', 'Check host and path.'),
  apiKeyUnknown: info(2022, 401, 'The key belongs to no team', 'Use a current key.'),
  endpointsBusy: info(2023, 503, 'The endpoints refused for lack of room', 'Come back after Retry-After.'),
  requestQuarantined: info(
    2024,
    503,
    'The same request crashed its endpoints and is not sent for now',
    'Mend the request, or come back after Retry-After.',
  ),
  hallsEvacuated: info(
    2025,
    503,
    'All halls that have endpoints of the service are being emptied',
    'Come back after Retry-After, or take an evacuation back.',
  ),
  endpointsCold: info(
    2026,
    503,
    'The endpoints have just started and take no more yet',
    'Come back after Retry-After.',
  ),
  endpointsBackingOff: info(
    2027,
    503,
    'The endpoints asked to get no requests for a while',
    'Come back after Retry-After.',
  ),
  streamVersionUnknown: info(
    2028,
    503,
    'It is not known which software version began the stream',
    'Come back after Retry-After, or begin anew.',
  ),
  streamVersionGone: info(
    2029,
    503,
    'No endpoint has the software version that began the stream',
    'Begin anew.',
  ),
  boxFull: info(
    2030,
    503,
    'The box holds as much for callers as it may',
    'Come back after Retry-After, at another box.',
  ),

  deadlineExceeded: info(3001, 504, 'The deadline passed', 'Ask again with more time.'),
  stewardLost: info(
    3002,
    502,
    'The box that spoke to the endpoint was lost',
    'See `ran` before asking again.',
  ),
  endpointBroke: info(3003, 502, 'The endpoint broke off', 'See `ran` before asking again.'),
  answerTooShort: info(3004, 502, 'The answer was shorter than announced', 'See `ran` before asking again.'),
  answerTooLong: info(3005, 502, 'The answer was longer than announced', 'See `ran` before asking again.'),
  callerGone: info(3006, 499, 'The caller went away', 'Nothing: the work is cancelled.'),
  placeLost: info(
    3007,
    502,
    'The request was lost on its way to an endpoint',
    'See `ran` before asking again.',
  ),
  keyUnknown: info(
    3008,
    409,
    'It cannot be told whether the call ran',
    'Ask the service before using a new key.',
  ),
  keyAnswerGone: info(
    3009,
    409,
    'The call ran; its answer is not held here',
    'Ask the service for its outcome.',
  ),
  answerTooLarge: info(
    3010,
    502,
    'The answer is too large to be held under a key',
    'Ask the service for it.',
  ),
  routeTimeout: info(3011, 504, 'The time-out of the route passed', 'See `ran` before asking again.'),
  boxStopped: info(3012, 502, 'The box had to exit before the response', 'See `ran` before asking again.'),

  frameTruncated: info(4001, 0, 'A peer closed inside a frame', 'Look for a crash of the peer.'),
  frameTooLarge: info(4002, 0, 'A peer frame is too large', 'Check for a foreign sender.'),
  frameMalformed: info(4003, 0, 'A peer frame cannot be decoded', 'Check for a foreign sender.'),
  frameVersion: info(4004, 0, 'A peer speaks another version', 'Finish the roll-out.'),
  frameForeign: info(4005, 0, 'A frame belongs to no live request', 'Nothing: it came late and was dropped.'),
} as const satisfies Record<string, ResultCodeInfo>;

/** Name of a result code. */
export type ResultCode = keyof typeof RESULT_CODES;

/** A typed error: its code, where it occurred and what is wrong. */
export interface Problem {
  readonly code: ResultCode;
  /** The field, path or address that it is about; empty if it concerns the whole input. */
  readonly at: string;
  readonly detail: string;
}

/**
 * Formats a problem as one line for logs and terminals.
 *
 * @example formatProblem({ code: 'fileInvalid', at: 'teams[0].weight', detail: 'must be above 0' })
 * // 'HW1102 teams[0].weight: must be above 0. Correct the named field.'
 */
export function formatProblem(problem: Problem): string {
  const { number, action } = RESULT_CODES[problem.code];
  const place = problem.at === '' ? '' : `${problem.at}: `;
  return `HW${number} ${place}${problem.detail}. ${action}`;
}
