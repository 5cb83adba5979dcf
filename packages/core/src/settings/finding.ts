/** A problem found in settings, and its location; all findings are reported together. */
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
 * Formats a finding for operators.
 *
 * @param finding - the finding
 * @returns one line: source, line number, field and message
 */
export function formatFinding(finding: Finding): string {
  const line = finding.line === undefined ? '' : `:${finding.line}`;
  const field = finding.field === '' ? '' : ` ${finding.field}`;
  return `${finding.source}${line}${field}: ${finding.message}`;
}
