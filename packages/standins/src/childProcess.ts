/** Starts and ends child processes. Each process is ended through its own handle, so that no other process is affected. */
import { spawn } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import { createInterface } from 'node:readline';

/** A started process and what was parsed from its startup line. */
export interface StartedProcess<T> {
  readonly child: ChildProcess;
  /** Parsed from the first line that `parseStartupLine` recognised, such as the listening address. */
  readonly startupInfo: T;
  /** Lines of standard output and standard error so far; grows while the process runs. */
  readonly outputLines: string[];
}

const childProcesses = new Set<ChildProcess>();

/** Kills all child processes when this process exits, also after SIGINT or SIGTERM. */
function killAllOnExit(): void {
  process.on('exit', () => childProcesses.forEach((child) => child.kill('SIGKILL')));
  for (const signal of ['SIGINT', 'SIGTERM'] as const) process.once(signal, () => process.exit(1));
}

function trackUntilExit(child: ChildProcess): void {
  if (childProcesses.size === 0 && process.listenerCount('SIGTERM') === 0) killAllOnExit();
  childProcesses.add(child);
  child.once('exit', () => childProcesses.delete(child));
}

/** Starts a Node program and waits until `parseStartupLine` recognises a line of its standard output. */
export function startProcess<T>(
  args: readonly string[],
  parseStartupLine: (line: string) => T | undefined,
  options: { readonly env?: NodeJS.ProcessEnv; readonly onLine?: (line: string) => void } = {},
): Promise<StartedProcess<T>> {
  const child = spawn(process.execPath, args, {
    stdio: ['ignore', 'pipe', 'pipe'],
    env: { ...process.env, ...options.env },
  });
  trackUntilExit(child);
  const outputLines: string[] = [];
  return new Promise((resolve, reject) => {
    child.once('exit', (code) =>
      reject(
        new Error(
          `${args.join(' ')} exited with code ${code} before it was ready: ${outputLines.join('\n')}`,
        ),
      ),
    );
    createInterface({ input: child.stderr }).on('line', (line) => outputLines.push(line));
    createInterface({ input: child.stdout }).on('line', (line) => {
      outputLines.push(line);
      options.onLine?.(line);
      const startupInfo = parseStartupLine(line);
      if (startupInfo !== undefined) resolve({ child, startupInfo, outputLines });
    });
  });
}

/** Sends a signal and waits for the process to exit. Resolves with the exit code, or null if a signal ended the process. */
export function endProcess(child: ChildProcess, signal: NodeJS.Signals): Promise<number | null> {
  if (child.exitCode !== null || child.signalCode !== null) return Promise.resolve(child.exitCode);
  return new Promise((resolve) => {
    child.once('exit', (code) => resolve(code));
    child.kill(signal);
  });
}
