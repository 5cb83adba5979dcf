/** Exit codes of the tool. */

/** What each exit code says. */
export const EXIT_CODES = {
  done: 0,
  failed: 1,
  badUsage: 2,
  invalid: 3,
  conflict: 4,
  refused: 5,
  unavailable: 6,
  unknown: 7,
} as const;

const BY_STATUS: Record<number, number> = {
  200: EXIT_CODES.done,
  400: EXIT_CODES.invalid,
  401: EXIT_CODES.refused,
  403: EXIT_CODES.refused,
  404: EXIT_CODES.failed,
  409: EXIT_CODES.conflict,
  422: EXIT_CODES.invalid,
  503: EXIT_CODES.unavailable,
  504: EXIT_CODES.unknown,
};

/**
 * @param status - HTTP status of the API's answer
 * @returns exit code of the tool
 */
export function resolveExitCode(status: number): number {
  return BY_STATUS[status] ?? EXIT_CODES.failed;
}
