/** Reads the proxy's parameters from a leading SQL comment in sqlcommenter form. */

const LEADING_COMMENT = /^\s*\/\*([^*]*(?:\*(?!\/)[^*]*)*)\*\//;
const PAIR = /([A-Za-z0-9_.%-]+)\s*=\s*'((?:[^'\\]|\\.)*)'/g;

/** Parameters of the proxy that a statement carries. */
export interface CommentParameters {
  readonly idempotencyKey?: string;
  readonly maxAgeMs?: string;
}

/**
 * @param text - SQL text
 * @returns the parameters that its leading comment names
 */
export function parseComment(text: string): CommentParameters {
  if (!text.trimStart().startsWith('/*')) return {};
  const comment = LEADING_COMMENT.exec(text)?.[1] ?? '';
  const pairs = new Map<string, string>();
  for (const match of comment.matchAll(PAIR)) {
    pairs.set(decodeSafely(match[1] ?? ''), decodeSafely(match[2] ?? ''));
  }
  return {
    idempotencyKey: pairs.get('heatherledge.idempotency_key'),
    maxAgeMs: pairs.get('heatherledge.max_age_ms'),
  };
}

function decodeSafely(text: string): string {
  try {
    return decodeURIComponent(text.replaceAll("\\'", "'"));
  } catch {
    return text;
  }
}
