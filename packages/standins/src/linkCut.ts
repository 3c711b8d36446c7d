/** Cuts of the links between one box and the endpoints, while other boxes reach them. */

/** What a cut does to connections. */
export const LINK_CUTS = [
  /** Open ones go silent; new ones are never established. */
  'hang',
  /** Open ones are reset; new ones are refused. */
  'reset',
  /** Open ones live on; new ones are refused. */
  'refuse',
] as const;
/** What a cut does to connections. */
export type LinkCut = (typeof LINK_CUTS)[number];

/** A port on which nothing listens: connections to it are refused. */
export const CLOSED_PORT = 1;
