/**
 * The settings of one box: a TOML file, overridden by command-line flags. All settings are validated before anything
 * starts.
 */
import { readFileSync } from 'node:fs';
import { DEFAULT_CORE_SETTINGS, Err, Ok, POLICY_NAMES, createPolicy } from '@hazelwalk/core';
import type { CoreSettings, Problem, Result } from '@hazelwalk/core';
import { CALLER_RESOURCE_RANGES } from '@hazelwalk/http';
import type { CallerResourceLimits, MachineResources } from '@hazelwalk/http';
import { z } from 'zod';
import { listProblems } from './problems.js';
import { readToml } from './readToml.js';

const MAX_PORT = 65_535;
const BYTES_PER_MB = 1_048_576;

const address = z.string().refine(isAddress, 'must be host:port with a port from 0 to 65535');

function isAddress(value: string): boolean {
  const match = /^([^\s:]+):(\d{1,5})$/.exec(value);
  return match !== null && Number(match[2]) <= MAX_PORT;
}

/** Creates the schema of the limits of what callers may take, each with its range and default. */
function createCallerSchema(): Record<keyof CallerResourceLimits, z.ZodDefault<z.ZodNumber>> {
  const read = (name: keyof CallerResourceLimits): z.ZodDefault<z.ZodNumber> => {
    const { min, max, standard } = CALLER_RESOURCE_RANGES[name];
    return z.number().min(min).max(max).default(standard);
  };
  const names = Object.keys(CALLER_RESOURCE_RANGES) as (keyof CallerResourceLimits)[];
  return Object.fromEntries(names.map((name) => [name, read(name)])) as ReturnType<typeof createCallerSchema>;
}

const boxSettingsSchema = z.strictObject({
  boxId: z.string().regex(/^[a-z0-9][a-z0-9-]{0,30}$/, 'must be lower-case letters, digits and dashes'),
  hall: z.string().min(1),
  /** Listener for callers. */
  callerAddress: address,
  /** Listener for other boxes. */
  peerAddress: address,
  /** Listener for operators' tools. */
  adminAddress: address,
  platformUrl: z.url({ protocol: /^https?$/, error: 'must be an http or https URL' }),
  /** Peers to connect to if the platform is down at start. */
  seedAddresses: z.array(address).default([]),
  statsdAddress: address.optional(),
  logLevel: z.enum(['debug', 'info', 'warn', 'error']).default('info'),
  policy: z.enum(POLICY_NAMES).default('steward'),
  maxBodyBytes: z.number().int().positive().max(3_000_000).default(1_000_000),
  maxHeaderBytes: z.number().int().min(1_024).max(262_144).default(16_384),
  /** Longest time until the head of a request, and until the whole request, has arrived. */
  headerTimeoutMs: z.number().int().min(100).default(10_000),
  bodyTimeoutMs: z.number().int().min(1_000).default(300_000),
  /** Memory and descriptors of the machine; callers may take a part of each. */
  memoryMb: z.number().int().min(64).default(350),
  maxDescriptors: z.number().int().min(256).default(4_096),
  callers: z.strictObject(createCallerSchema()).prefault({}),
  heartbeatMs: z.number().int().min(50).default(DEFAULT_CORE_SETTINGS.heartbeatMs),
  leaseMs: z.number().int().min(100).default(DEFAULT_CORE_SETTINGS.leaseMs),
  keyLagMs: z.number().int().nonnegative().default(DEFAULT_CORE_SETTINGS.keyLagMs),
  keyLeaseMs: z.number().int().min(200).default(DEFAULT_CORE_SETTINGS.keyLeaseMs),
  keySkewMs: z.number().int().nonnegative().default(DEFAULT_CORE_SETTINGS.keySkewMs),
  clockErrorMs: z.number().int().nonnegative().default(DEFAULT_CORE_SETTINGS.clockErrorMs),
  drainTimeoutMs: z.number().int().positive().default(DEFAULT_CORE_SETTINGS.drainTimeoutMs),
});

/** The validated settings of one box. Addresses are `host:port`; with port 0 the operating system chooses a port. */
export type BoxSettings = z.infer<typeof boxSettingsSchema>;

function checkAddresses(settings: BoxSettings): Problem[] {
  const fields = ['callerAddress', 'peerAddress', 'adminAddress'] as const;
  return fields.flatMap((field, index) => {
    const earlier = fields.slice(0, index).find((other) => settings[other] === settings[field]);
    if (earlier === undefined || settings[field].endsWith(':0')) return [];
    return [{ code: 'addressClash' as const, at: field, detail: `${settings[field]} is also ${earlier}` }];
  });
}

/** Shortest lease, in heartbeat intervals: with a shorter one, live peers would count as dead. */
const MIN_HEARTBEATS_PER_LEASE = 2;
/**
 * Shortest lease of keys, in heartbeat intervals: half of it is for waiting on the platform, and one heartbeat may be
 * lost.
 */
const MIN_HEARTBEATS_PER_KEY_LEASE = 4;

function checkLeases(settings: BoxSettings): Problem[] {
  const { heartbeatMs, leaseMs, keyLeaseMs } = settings;
  return [
    ...checkLease('leaseMs', leaseMs, heartbeatMs, MIN_HEARTBEATS_PER_LEASE),
    ...checkLease('keyLeaseMs', keyLeaseMs, heartbeatMs, MIN_HEARTBEATS_PER_KEY_LEASE),
  ];
}

function checkLease(at: string, leaseMs: number, heartbeatMs: number, minHeartbeats: number): Problem[] {
  if (leaseMs >= minHeartbeats * heartbeatMs) return [];
  return [
    {
      code: 'settingsInvalid',
      at,
      detail: `must be at least ${minHeartbeats} times heartbeatMs (${heartbeatMs})`,
    },
  ];
}

/**
 * Validates the settings of a box; returns them, or all problems found.
 *
 * @example validateBoxSettings({ boxId: 'b1', hall: 'mixco', ...addresses })
 */
export function validateBoxSettings(value: unknown): Result<BoxSettings, readonly Problem[]> {
  const parsed = boxSettingsSchema.safeParse(value);
  if (!parsed.success) return Err(listProblems('settingsInvalid', parsed.error));
  const problems = [...checkAddresses(parsed.data), ...checkLeases(parsed.data)];
  return problems.length > 0 ? Err(problems) : Ok(parsed.data);
}

function readSettingsFile(path: string): Result<Record<string, unknown>, Problem> {
  try {
    return readToml(readFileSync(path, 'utf8'));
  } catch (error) {
    return Err({ code: 'settingsUnreadable', at: path, detail: (error as Error).message });
  }
}

/**
 * Loads and validates a box's settings from its file; flags take precedence.
 *
 * @example loadBoxSettings('/etc/hazelwalk/box.toml', { logLevel: 'debug' })
 */
export function loadBoxSettings(
  path: string | undefined,
  flags: Readonly<Record<string, unknown>>,
): Result<BoxSettings, readonly Problem[]> {
  const file = path === undefined ? Ok({}) : readSettingsFile(path);
  if (file.err) return Err([file.val]);
  const setFlags = Object.entries(flags).filter(([, value]) => value !== undefined);
  return validateBoxSettings({ ...file.val, ...Object.fromEntries(setFlags) });
}

/** The machine of a box, as its settings state it. */
export function readMachine({ memoryMb, maxDescriptors }: BoxSettings): MachineResources {
  return { memoryBytes: memoryMb * BYTES_PER_MB, descriptors: maxDescriptors };
}

/** Creates the settings of the core: the defaults, overridden by the box's settings. */
export function createCoreSettings(settings: BoxSettings): CoreSettings {
  const { heartbeatMs, leaseMs, drainTimeoutMs, keyLagMs, keyLeaseMs, keySkewMs, clockErrorMs } = settings;
  const keys = { keyLagMs, keyLeaseMs, keySkewMs, clockErrorMs };
  const policy = createPolicy(settings.policy);
  return { ...DEFAULT_CORE_SETTINGS, heartbeatMs, leaseMs, drainTimeoutMs, ...keys, policy };
}
