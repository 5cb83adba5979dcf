/** Problems found in settings, collected with their place and reported together. */

/** One problem and where it stands. */
export interface Finding {
  /** Settings path or file name. */
  readonly source: string;
  /** Field inside the value, such as `members.0.port`. */
  readonly field: string;
  readonly message: string;
  /** Line in the file, from 1, where there is a file. */
  readonly line?: number;
}

/**
 * @param finding - the problem
 * @returns one line for people
 */
export function formatFinding(finding: Finding): string {
  const line = finding.line === undefined ? '' : `:${finding.line}`;
  const field = finding.field === '' ? '' : ` ${finding.field}`;
  return `${finding.source}${line}${field}: ${finding.message}`;
}
