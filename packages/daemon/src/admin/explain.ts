import {
  chooseReadTargets,
  type OrganisationId,
  ProxyError,
  databaseForbidden,
  databaseUnknown,
  featureRefused,
  primaryUnavailable,
  type ReadTarget,
} from '@heatherledge/core';
import { CallerState } from '../callers/caller-state.js';
import { LeaseSource } from '../callers/lease-source.js';
import type { ServingContext } from '../callers/serving-context.js';

/** A request to be explained. */
export interface ExplainRequest {
  readonly organisation: OrganisationId;
  readonly database: string;
  /** SQL text. */
  readonly text: string;
}

/** Where a request would be routed, or why it would be refused. */
export interface Explanation {
  readonly group?: string;
  /** Class of each statement, such as `read` or `write`. */
  readonly statements: readonly string[];
  /** Members that could serve it, best first; only the primary unless all statements are reads. */
  readonly members: readonly ReadTarget[];
  /** Error that the caller would receive, if the request would be refused. */
  readonly refusal?: { readonly name: string; readonly message: string };
}

/**
 * Explains how this instance would serve a request now, without running it.
 *
 * @param request - request to explain
 * @param context - services of the instance
 * @returns the group, the statement classes and the members to try, or the refusal
 */
export function explainRequest(request: ExplainRequest, context: ServingContext): Explanation {
  const { organisation, database, text } = request;
  const classes = context.classifier.classify(text);
  const statements = classes.map(({ kind }) => kind);
  const route = context.settings().routes.get(database);
  if (route === undefined) {
    return refuse(statements, ProxyError.create(databaseUnknown, { database }));
  }
  const isAllowed =
    route.open || route.organisations.size === 0 || route.organisations.has(organisation);
  if (!isAllowed) return refuse(statements, ProxyError.create(databaseForbidden, { database }));
  const refused = classes.find((item) => item.kind === 'refused');
  if (refused?.kind === 'refused') {
    return refuse(statements, ProxyError.create(featureRefused, { reason: refused.feature }));
  }
  context.useGroup(route.group);
  const state = new CallerState(organisation, route.group, undefined);
  const candidates = new LeaseSource(context, state).listCandidates();
  const isRead = classes.every(({ kind }) => kind === 'read');
  const targets = chooseReadTargets(candidates, undefined, context.weights);
  const members = isRead ? targets : targets.filter(({ isPrimary }) => isPrimary);
  const explanation = { group: route.group, statements, members };
  if (members.length > 0) return explanation;
  return {
    ...explanation,
    ...refuse(statements, ProxyError.create(primaryUnavailable, undefined)),
  };
}

function refuse(statements: readonly string[], error: ProxyError): Explanation {
  return { statements, members: [], refusal: { name: error.entry.name, message: error.message } };
}
