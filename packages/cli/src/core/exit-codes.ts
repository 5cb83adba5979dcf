/** Exit codes by outcome. The help text prints the names. */
export const EXIT_CODES = {
  done: 0,
  failed: 1,
  badUsage: 2,
  invalid: 3,
  /** The settings have a newer revision than expected. */
  conflict: 4,
  /** The credential is missing, not valid or does not allow the request. */
  refused: 5,
  /** The API or the platform's store cannot be reached, or the command failed with an error. */
  unavailable: 6,
  /** It is not known whether the change was accepted. */
  unknown: 7,
} as const;

const EXIT_CODE_BY_HTTP_STATUS: Record<number, number> = {
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
 * Maps an HTTP status to an exit code.
 *
 * @param status - HTTP status of the API's reply
 * @returns the exit code; `failed` for statuses that are not listed
 */
export function resolveExitCode(status: number): number {
  return EXIT_CODE_BY_HTTP_STATUS[status] ?? EXIT_CODES.failed;
}
