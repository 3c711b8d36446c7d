/** Exit codes of the daemon. */
export const EXIT_CODE = {
  ok: 0,
  failed: 1,
  badUsage: 2,
  settingsInvalid: 3,
  addressInUse: 4,
} as const;
