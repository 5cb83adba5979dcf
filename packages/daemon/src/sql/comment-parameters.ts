const LEADING_COMMENT = /^\s*\/\*([^*]*(?:\*(?!\/)[^*]*)*)\*\//;
const KEY_VALUE_PAIR = /([A-Za-z0-9_.%-]+)\s*=\s*'((?:[^'\\]|\\.)*)'/g;

/** Parameters of the proxy that a leading SQL comment sets for its statement. */
export interface CommentParameters {
  readonly idempotencyKey?: string;
  readonly maxAgeMs?: string;
}

/**
 * Parses a leading SQL comment in sqlcommenter format: `key='value'` pairs with URL encoding.
 *
 * @param text - SQL text
 * @returns the proxy's parameters in its leading comment
 */
export function parseComment(text: string): CommentParameters {
  if (!text.trimStart().startsWith('/*')) return {};
  const comment = LEADING_COMMENT.exec(text)?.[1] ?? '';
  const pairs = new Map<string, string>();
  for (const match of comment.matchAll(KEY_VALUE_PAIR)) {
    pairs.set(decodeComponent(match[1] ?? ''), decodeComponent(match[2] ?? ''));
  }
  return {
    idempotencyKey: pairs.get('heatherledge.idempotency_key'),
    maxAgeMs: pairs.get('heatherledge.max_age_ms'),
  };
}

/** Decodes a URL-encoded key or value; a malformed one is returned as it is. */
function decodeComponent(text: string): string {
  try {
    return decodeURIComponent(text.replaceAll("\\'", "'"));
  } catch {
    return text;
  }
}
