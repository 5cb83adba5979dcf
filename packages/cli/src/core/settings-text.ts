import type { Finding } from '@heatherledge/core';
import { parse, type ParseError, printParseErrorCode } from 'jsonc-parser';

/** A parsed text, or what is wrong with it. */
export type ParsedText =
  | { readonly kind: 'value'; readonly value: unknown }
  | { readonly kind: 'invalid'; readonly findings: readonly Finding[] };

/**
 * Parses JSON with comments and trailing commas.
 *
 * @param text - the text
 * @param source - file or path that findings name
 * @returns the value, or a finding for each error
 */
export function parseSettingsText(text: string, source: string): ParsedText {
  const errors: ParseError[] = [];
  const value: unknown = parse(text, errors, { allowTrailingComma: true });
  if (errors.length === 0) return { kind: 'value', value };
  const findings = errors.map(({ error, offset }) => ({
    source,
    field: '',
    message: printParseErrorCode(error),
    line: resolveLine(text, offset),
  }));
  return { kind: 'invalid', findings };
}

/** @returns the line of the offset, from 1 */
export function resolveLine(text: string, offset: number): number {
  return text.slice(0, offset).split('\n').length;
}
