import { randomBytes, randomUUID } from 'node:crypto';
import {
  createKeyDigest,
  type CredentialSettings,
  INTERNAL_PREFIX,
  type OrganisationId,
  type PathChange,
  type SettingsIndex,
  toBrand,
} from '@heatherledge/core';
import * as z from 'zod';
import type { ChangeOutcome, ChangeRequest, AuditRecord } from '../settings/settings-store.js';
import type { AdminResponse, AdminRequest } from './admin-server.js';
import { findForeignReferences } from './reference-access.js';
import type { Explanation, ExplainRequest } from './explain.js';
import { OPENAPI_DOCUMENT } from './openapi.js';

/** Access of the administration API to its instance. */
export interface AdminPort {
  getSettings(): SettingsIndex;
  isReady(): boolean;
  /** Applies a change of settings, all of it or nothing. */
  changeSettings(request: ChangeRequest): Promise<ChangeOutcome>;
  /**
   * @returns accepted changes of settings, oldest first
   * @throws PlatformError if the platform's store cannot be reached
   */
  readHistory(): Promise<readonly AuditRecord[]>;
  /** @returns a dump of the process's state, sent as JSON */
  getState(): unknown;
  /** @returns groups and instances known to this instance, sent as JSON */
  getStatus(): unknown;
  explain(request: ExplainRequest): Explanation;
  /** @returns all metrics in Prometheus's text format */
  formatMetrics(): Promise<string>;
}

const INTERNAL_MESSAGE = `begins with ${INTERNAL_PREFIX}, which is for the instances' own records`;
const externalPath = z.string().min(1).refine(isExternal, INTERNAL_MESSAGE);

const changeSchema = z.strictObject({
  changes: z
    .array(z.strictObject({ path: externalPath, value: z.unknown().optional() }))
    .min(1)
    .max(10_000),
  expectedRevision: z.number().int().optional(),
  changeId: z.string().min(1).max(100).refine(isExternal, INTERNAL_MESSAGE).optional(),
});

const keyRequestSchema = z.strictObject({
  path: externalPath,
  organisation: z.string().min(1),
});

const explainSchema = z.strictObject({
  organisation: z.string().min(1),
  database: z.string().min(1),
  text: z.string().min(1),
});

/** HTTP status for each outcome of a change. */
const OUTCOME_STATUS: Record<ChangeOutcome['kind'], number> = {
  accepted: 200,
  invalid: 422,
  conflict: 409,
  unavailable: 503,
  unknown: 504,
};

const KEY_RANDOM_BYTES = 24;

interface Operator {
  readonly id: string;
  readonly credential: CredentialSettings;
}

/** Routes requests of the administration API and checks their credentials. */
export class AdminApi {
  constructor(private readonly port: AdminPort) {}

  /**
   * Handles a request. Health checks, metrics and the OpenAPI document need no credential.
   *
   * @param request - request of an operator
   * @returns the response
   */
  async handle(request: AdminRequest): Promise<AdminResponse> {
    const publicResponse = await this.handlePublic(request);
    if (publicResponse !== undefined) return publicResponse;
    const operator = this.findOperator(request.token);
    if (operator === undefined) return createError(401, 'a valid bearer token is needed');
    switch (`${request.method} ${request.path}`) {
      case 'GET /v1/settings':
        return this.listSettings(request, operator);
      case 'POST /v1/settings':
        return this.changeSettings(request, operator);
      case 'POST /v1/keys':
        return this.issueKey(request, operator);
      case 'POST /v1/explain':
        return this.explain(request);
      case 'GET /v1/history':
        return this.readHistory(operator);
      case 'GET /v1/state':
        return { status: 200, body: this.port.getState() };
      case 'GET /v1/status':
        return { status: 200, body: this.port.getStatus() };
      default:
        return createError(404, `nothing at ${request.method} ${request.path}`);
    }
  }

  private async handlePublic(request: AdminRequest): Promise<AdminResponse | undefined> {
    if (request.method !== 'GET') return undefined;
    switch (request.path) {
      case '/livez':
        return { status: 200, body: { live: true } };
      case '/readyz': {
        const ready = this.port.isReady();
        return { status: ready ? 200 : 503, body: { ready } };
      }
      case '/metrics':
        return { status: 200, body: await this.port.formatMetrics() };
      case '/openapi.json':
        return { status: 200, body: OPENAPI_DOCUMENT };
      default:
        return undefined;
    }
  }

  private findOperator(token: string | undefined): Operator | undefined {
    if (token === undefined) return undefined;
    const digest = createKeyDigest(token);
    for (const [id, credential] of this.port.getSettings().credentials) {
      if (credential.digest === digest) return { id, credential };
    }
    return undefined;
  }

  private listSettings(request: AdminRequest, operator: Operator): AdminResponse {
    const { revision, values } = this.port.getSettings();
    const prefix = request.query.get('prefix') ?? '';
    const entries = [...values]
      .filter(([path]) => path.startsWith(prefix) && mayAccess(operator, path))
      .sort(([left], [right]) => (left < right ? -1 : 1))
      .map(([path, value]) => ({ path, value }));
    return { status: 200, body: { revision, entries } };
  }

  private async changeSettings(request: AdminRequest, operator: Operator): Promise<AdminResponse> {
    const parsed = changeSchema.safeParse(request.body);
    if (!parsed.success) return createValidationError(parsed.error);
    const { changes, expectedRevision, changeId = randomUUID() } = parsed.data;
    return this.applyChange({ changes, expectedRevision, changeId, author: operator.id }, operator);
  }

  private async issueKey(request: AdminRequest, operator: Operator): Promise<AdminResponse> {
    const parsed = keyRequestSchema.safeParse(request.body);
    if (!parsed.success) return createValidationError(parsed.error);
    const { path, organisation } = parsed.data;
    const key = `hlk_${randomBytes(KEY_RANDOM_BYTES).toString('base64url')}`;
    const value = { organisation, digest: createKeyDigest(key), withdrawn: false };
    const change = { changes: [{ path, value }], changeId: randomUUID(), author: operator.id };
    const response = await this.applyChange(change, operator);
    if (response.status !== OUTCOME_STATUS.accepted) return response;
    return { status: 200, body: { ...(response.body as object), path, key } };
  }

  private explain(request: AdminRequest): AdminResponse {
    const parsed = explainSchema.safeParse(request.body);
    if (!parsed.success) return createValidationError(parsed.error);
    const organisation = toBrand<OrganisationId>(parsed.data.organisation);
    return { status: 200, body: this.port.explain({ ...parsed.data, organisation }) };
  }

  private async applyChange(request: ChangeRequest, operator: Operator): Promise<AdminResponse> {
    const forbidden = this.listForbiddenPaths(request.changes, operator);
    if (forbidden.length > 0) return createForbiddenError(forbidden, operator);
    const outcome = await this.port.changeSettings(request);
    const { changeId } = request;
    return {
      status: OUTCOME_STATUS[outcome.kind],
      body: { outcome: outcome.kind, changeId, ...outcome, kind: undefined },
    };
  }

  private listForbiddenPaths(changes: readonly PathChange[], operator: Operator): string[] {
    const isCovered = (path: string): boolean => mayAccess(operator, path);
    const outside = changes.map(({ path }) => path).filter((path) => !isCovered(path));
    const paths = this.port.getSettings().values.keys();
    return [...outside, ...findForeignReferences(changes, paths, isCovered)];
  }

  private async readHistory(operator: Operator): Promise<AdminResponse> {
    try {
      const records = await this.port.readHistory();
      const visible = records.filter(({ changes }) =>
        changes.every(({ path }) => mayAccess(operator, path)),
      );
      return { status: 200, body: { changes: visible } };
    } catch {
      return createError(503, "the platform's store cannot be reached");
    }
  }
}

function isExternal(text: string): boolean {
  return !text.startsWith(INTERNAL_PREFIX);
}

/** A credential covers the paths that begin with its subtree, for reading and for writing. */
function mayAccess(operator: Operator, path: string): boolean {
  return path.startsWith(operator.credential.subtree);
}

function createError(status: number, error: string): AdminResponse {
  return { status, body: { error } };
}

function createValidationError(error: z.ZodError): AdminResponse {
  const findings = error.issues.map((issue) => ({
    source: 'request',
    field: issue.path.join('.'),
    message: issue.message,
  }));
  return { status: 400, body: { error: 'the request is malformed', findings } };
}

function createForbiddenError(forbidden: readonly string[], operator: Operator): AdminResponse {
  const findings = forbidden.map((path) => ({
    source: path,
    field: '',
    message: `is or refers to a path outside of "${operator.credential.subtree}"`,
  }));
  return { status: 403, body: { error: 'the credential does not cover the paths', findings } };
}
