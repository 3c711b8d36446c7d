/** Addresses in the form `host:port`. */
import type { Server } from 'node:net';
import type { AddressInfo } from 'node:net';

/** Host and port of an address. */
export interface HostPort {
  readonly host: string;
  readonly port: number;
}

/**
 * Splits an address.
 *
 * @example splitAddress('127.0.0.1:7001') // { host: '127.0.0.1', port: 7001 }
 */
export function splitAddress(address: string): HostPort {
  const colon = address.lastIndexOf(':');
  return { host: address.slice(0, colon), port: Number(address.slice(colon + 1)) };
}

/** Binds a server; resolves with the address it is bound to, rejects if the address is in use. */
export function listenOn(server: Server, address: string): Promise<string> {
  const { host, port } = splitAddress(address);
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, () => {
      server.off('error', reject);
      resolve(`${host}:${(server.address() as AddressInfo).port}`);
    });
  });
}
