import { featureRefused, ProxyError, startupMalformed } from '@heatherledge/core';
import { findRefusedParameter, PROXY_PARAMETER_PREFIX } from '../sql/parameter-statements.js';
import { quoteLiteral } from '../upstreams/member-control.js';

/** Startup parameters that do not set a session parameter, or one without effect on statements. */
const OTHER_PARAMETERS = new Set(['user', 'database', 'options', 'application_name']);
const PARAMETER_NAME = /^[a-z_][a-z0-9_$]*(\.[a-z_][a-z0-9_$]*)*$/;
/** An argument of `options`; a backslash keeps a blank in it. */
const OPTION_ARGUMENT = /(?:\\.|[^\\\s])+/gs;

/** A parameter that a caller sets when it connects. */
export interface StartupParameter {
  /** Name in lower case. */
  readonly name: string;
  readonly value: string;
}

/**
 * Lists the session parameters of a startup packet, with those of its `options`.
 *
 * @param parameters - the startup packet's parameters
 * @returns the parameters in the order in which they apply
 * @throws ProxyError if one of them cannot be applied
 */
export function listStartupParameters(parameters: ReadonlyMap<string, string>): StartupParameter[] {
  const named = [...parameters]
    .filter(([name]) => !OTHER_PARAMETERS.has(name) && !name.startsWith('_pq_.'))
    .map(([name, value]) => ({ name: name.toLowerCase(), value }));
  const listed = [...parseOptions(parameters.get('options') ?? ''), ...named];
  for (const parameter of listed) checkParameter(parameter);
  return listed.filter(({ name }) => name !== 'application_name' && name !== 'client_encoding');
}

/**
 * @param parameter - a session parameter
 * @returns SQL statement that sets it
 */
export function formatParameter({ name, value }: StartupParameter): string {
  return `SELECT pg_catalog.set_config(${quoteLiteral(name)}, ${quoteLiteral(value)}, false)`;
}

/** Parses `-c name=value` and `--name=value`. */
function parseOptions(options: string): StartupParameter[] {
  const texts = (options.match(OPTION_ARGUMENT) ?? []).map((text) =>
    text.replaceAll(/\\(.)/gs, '$1'),
  );
  const parsed: StartupParameter[] = [];
  for (let index = 0; index < texts.length; index += 1) {
    const text = texts[index] ?? '';
    if (text === '-c') {
      index += 1;
      parsed.push(parseAssignment(texts[index] ?? ''));
    } else if (text.startsWith('-c') || text.startsWith('--')) {
      parsed.push(parseAssignment(text.slice(2)));
    } else throw createRefusal(`option ${text}`);
  }
  return parsed;
}

function parseAssignment(text: string): StartupParameter {
  const end = text.indexOf('=');
  if (end < 0) throw ProxyError.create(startupMalformed, undefined);
  const name = text.slice(0, end).replaceAll('-', '_').toLowerCase();
  return { name, value: text.slice(end + 1) };
}

function checkParameter({ name, value }: StartupParameter): void {
  const isSupported = PARAMETER_NAME.test(name) && name !== 'replication';
  if (name.startsWith(PROXY_PARAMETER_PREFIX)) return;
  if (!isSupported) throw createRefusal(`startup parameter ${JSON.stringify(name)}`);
  const refused = findRefusedParameter(name, value.split(','));
  if (refused !== undefined) throw createRefusal(refused);
}

function createRefusal(reason: string): ProxyError {
  return ProxyError.create(featureRefused, { reason });
}
