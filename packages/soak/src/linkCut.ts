/** Cuts of a box's links to all endpoints: how the soak orders them, and the process of the box reads the order. */
import { writeFileSync } from 'node:fs';
import { fileURLToPath } from 'node:url';
import type { LinkCut } from '@hazelwalk/standins/linkCut';
import { LINK_CUTS } from '@hazelwalk/standins/linkCut';

/** Environment variables of a box's process: the file with the order, and the ports that a cut leaves alone. */
export const LINK_CUT_VARIABLES = {
  file: 'SOAK_LINK_CUT_FILE',
  otherPorts: 'SOAK_LINK_CUT_OTHER_PORTS',
} as const;

/** Path of the module to load into the process of a box. */
export const LINK_CUT_PRELOAD = fileURLToPath(new URL('linkCutPreload.js', import.meta.url));

/**
 * Orders a cut, or its end.
 *
 * @example writeLinkCut(box.linkCutPath, 'hang')
 */
export function writeLinkCut(path: string, cut: LinkCut | undefined): void {
  writeFileSync(path, cut ?? '');
}

/** Reads the text of an order. */
export function readLinkCut(text: string): LinkCut | undefined {
  return LINK_CUTS.find((cut) => cut === text);
}
