const changeRequest = {
  type: 'object',
  required: ['changes'],
  properties: {
    changes: {
      type: 'array',
      items: {
        type: 'object',
        required: ['path'],
        properties: { path: { type: 'string' }, value: {} },
      },
      description: 'Paths changed together, or none. A path without a value is deleted.',
    },
    expectedRevision: {
      type: 'integer',
      description:
        'Revision on which the change builds; the change is refused if it is not newest.',
    },
    changeId: {
      type: 'string',
      description:
        'Chosen by the asker; the same id is never applied twice, and refused for another change.',
    },
  },
};

const keyRequest = {
  type: 'object',
  required: ['path', 'organisation'],
  properties: { path: { type: 'string' }, organisation: { type: 'string' } },
};

const explainRequest = {
  type: 'object',
  required: ['organisation', 'database', 'text'],
  properties: {
    organisation: { type: 'string' },
    database: { type: 'string' },
    text: { type: 'string', description: 'SQL text.' },
  },
};

function createResponses(...entries: readonly (readonly [number, string])[]): object {
  return Object.fromEntries(entries.map(([status, description]) => [status, { description }]));
}

function createRequestBody(schema: object): object {
  return { required: true, content: { 'application/json': { schema } } };
}

const CHANGE_RESPONSES = createResponses(
  [200, 'Accepted; it is in force everywhere within seconds.'],
  [400, 'The request is malformed; every finding is listed.'],
  [403, 'A path lies outside of the subtree of the credential.'],
  [409, 'The settings have a newer revision than expected. Nothing was changed.'],
  [422, 'The change is not valid; every finding is listed. Nothing was changed.'],
  [503, "The platform's store cannot be reached. Nothing was changed."],
  [504, 'It is not known whether the change was accepted; ask again with the same change id.'],
);

/** OpenAPI document of the administration API. */
export const OPENAPI_DOCUMENT = {
  openapi: '3.1.0',
  info: { title: 'heatherledge administration', version: '1' },
  components: { securitySchemes: { token: { type: 'http', scheme: 'bearer' } } },
  security: [{ token: [] }],
  paths: {
    '/v1/settings': {
      get: {
        summary: 'Settings of the subtree, at one revision.',
        parameters: [{ name: 'prefix', in: 'query', schema: { type: 'string' } }],
        responses: createResponses([200, 'Revision and entries.'], [401, 'No valid token.']),
      },
      post: {
        summary: 'Changes several paths together, or none.',
        requestBody: createRequestBody(changeRequest),
        responses: CHANGE_RESPONSES,
      },
    },
    '/v1/keys': {
      post: {
        summary: 'Issues a tenant key and shows it once.',
        requestBody: createRequestBody(keyRequest),
        responses: CHANGE_RESPONSES,
      },
    },
    '/v1/explain': {
      post: {
        summary: 'Which route, member and refusal a request would get, without running it.',
        requestBody: createRequestBody(explainRequest),
        responses: createResponses([200, 'Explanation.'], [400, 'The request is malformed.']),
      },
    },
    '/v1/history': {
      get: {
        summary: 'Accepted changes, oldest first.',
        responses: createResponses([200, 'Changes with author and revision.']),
      },
    },
    '/v1/status': {
      get: { summary: 'Groups and instances.', responses: createResponses([200, 'Status.']) },
    },
    '/v1/state': {
      get: { summary: 'State of this process.', responses: createResponses([200, 'State.']) },
    },
    '/livez': { get: { summary: 'Liveness.', responses: createResponses([200, 'Alive.']) } },
    '/readyz': {
      get: {
        summary: 'Readiness.',
        responses: createResponses([200, 'Ready.'], [503, 'Settings are not known.']),
      },
    },
    '/metrics': { get: { summary: 'Metrics.', responses: createResponses([200, 'Metrics.']) } },
  },
};
