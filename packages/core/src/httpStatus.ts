/** Ranges of HTTP status codes (RFC 9110, section 15). */

const MIN_FINAL = 200;
const MAX_FINAL = 599;

/**
 * Whether a response with this status is an interim one, which precedes the final response.
 *
 * @example isInformational(103) // true
 */
export function isInformational(status: number): boolean {
  return status >= 100 && status < MIN_FINAL;
}

/**
 * Whether a status may be that of a final response. Other three-digit numbers pass parsers, but are no statuses of HTTP.
 *
 * @example isFinalStatus(600) // false
 */
export function isFinalStatus(status: number): boolean {
  return Number.isInteger(status) && status >= MIN_FINAL && status <= MAX_FINAL;
}
