/**
 * Stands in for Node's HTTP/2 in the bundle of a box. The HTTP client loads it for connections that a box never makes,
 * which costs a tenth of the time that a box needs to start.
 */

/** The client reads header names from here when it is loaded, and nothing else. */
export const constants = {};
