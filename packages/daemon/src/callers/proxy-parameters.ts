import {
  type InstanceId,
  parameterRejected,
  type PositionCodec,
  positionRejected,
  ProxyError,
} from '@heatherledge/core';
import { parseComment } from '../sql/comment-parameters.js';
import { PROXY_PARAMETER_PREFIX } from '../sql/parameter-statements.js';
import type { CallerState } from './caller-state.js';

const MAX_IDEMPOTENCY_KEY_LENGTH = 200;
const MAX_ACCEPTED_AGE_MS = 86_400_000;

/** The proxy's own parameters of a session, by their names without the prefix. */
export class ProxyParameters {
  constructor(
    private readonly state: CallerState,
    private readonly codec: PositionCodec,
    private readonly instance: InstanceId,
  ) {}

  /**
   * @param name - name without the prefix
   * @returns value as text
   * @throws ProxyError if the parameter does not exist
   */
  get(name: string): string {
    switch (name) {
      case 'position':
        return this.sealPosition() ?? '';
      case 'max_age_ms':
        return String(this.state.maxAgeMs ?? '');
      case 'idempotency_key':
        return this.state.idempotencyKey ?? '';
      case 'instance':
        return this.instance;
      default:
        throw createParameterError(name, 'is not a parameter of the proxy');
    }
  }

  /**
   * Sets a parameter.
   *
   * @param name - name without the prefix
   * @param value - value as text
   * @throws ProxyError if the parameter does not exist or the value is invalid
   */
  set(name: string, value: string): void {
    if (name === 'position') this.setPosition(value);
    else if (name === 'max_age_ms') this.state.maxAgeMs = parseMaxAge(value);
    else if (name === 'idempotency_key') this.state.idempotencyKey = parseIdempotencyKey(value);
    else throw createParameterError(name, 'is not a parameter of the proxy');
  }

  /**
   * Reads the parameters that comments of a request set.
   *
   * @param texts - SQL texts of the request
   * @returns their common key and the lowest maximum age
   * @throws ProxyError if a value is invalid, or if there are two keys
   */
  parseComments(texts: readonly string[]): Pick<CallerState, 'maxAgeMs' | 'idempotencyKey'> {
    const comments = texts.map(parseComment);
    const keys = new Set(
      comments.flatMap(({ idempotencyKey = '' }) => parseIdempotencyKey(idempotencyKey) ?? []),
    );
    if (keys.size > 1) throw createParameterError('idempotency_key', 'differs within one request');
    const ages = comments.flatMap(({ maxAgeMs }) => parseMaxAge(maxAgeMs ?? '') ?? []);
    return {
      idempotencyKey: [...keys][0],
      maxAgeMs: ages.length === 0 ? undefined : Math.min(...ages),
    };
  }

  /** @returns the session's position as a token for its caller */
  sealPosition(): string | undefined {
    const { organisation, group, position } = this.state;
    return position && this.codec.encode(organisation, group, position);
  }

  private setPosition(token: string): void {
    if (token === '') return;
    const { organisation, group } = this.state;
    const position = this.codec.decode(organisation, group, token);
    if (position === undefined) throw ProxyError.create(positionRejected, undefined);
    this.state.advancePosition(position);
  }
}

function createParameterError(name: string, problem: string): ProxyError {
  return ProxyError.create(parameterRejected, {
    reason: `${PROXY_PARAMETER_PREFIX}${name} ${problem}`,
  });
}

function parseIdempotencyKey(key: string): string | undefined {
  if (key.length > MAX_IDEMPOTENCY_KEY_LENGTH) {
    throw createParameterError('idempotency_key', `is longer than ${MAX_IDEMPOTENCY_KEY_LENGTH}`);
  }
  return key === '' ? undefined : key;
}

function parseMaxAge(value: string): number | undefined {
  if (value === '') return undefined;
  const age = Number(value);
  if (!Number.isFinite(age) || age < 0 || age > MAX_ACCEPTED_AGE_MS) {
    throw createParameterError('max_age_ms', `must be from 0 to ${MAX_ACCEPTED_AGE_MS}`);
  }
  return age;
}
