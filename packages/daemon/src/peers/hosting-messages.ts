import * as z from 'zod';

/** Log position of a member. */
export const logMark = z.object({ term: z.number(), position: z.number() });

const wireError = z.object({
  code: z.enum([
    'busy',
    'aborted',
    'lagging',
    'read-only',
    'wrong-member',
    'connection-limit',
    'unknown-name',
    'malformed',
    'unknown-database',
    'key-rejected',
    'failed',
    'timeout',
    'in-doubt',
  ]),
  text: z.string(),
});

/** Fields of a request for a connection to a member. */
const memberRequest = {
  member: z.string(),
  organisation: z.string().optional(),
  /** Digest of the caller's key, which the host checks again before it sends the statement. */
  key: z.string().optional(),
  values: z.array(z.tuple([z.string(), z.string()])),
  timeoutMs: z.number(),
  /** The request is refused if the expected wait for a connection is longer. */
  patienceMs: z.number(),
  priority: z.number(),
  /** Whether an instance that was asked before could not reach the member; absent if it could. */
  wasUnreachable: z.boolean().optional(),
};

/** Fields of a statement for a member. */
const statement = {
  request: z.string(),
  text: z.string(),
  /** Statement that the text executes by this name. */
  prepared: z
    .object({
      name: z.string(),
      access: z.enum(['read', 'write']),
      shape: z.string(),
      /** Length of the caller's name; absent in messages of earlier versions. */
      maxNameLength: z.number().optional(),
    })
    .optional(),
};

/** Messages between an instance and the host of a member. */
export const hostingBodySchemas = [
  /** Requests a single statement at a member that the receiving instance hosts. */
  z.object({
    kind: z.literal('statement.run'),
    ...memberRequest,
    access: z.enum(['read', 'write']),
    ...statement,
    /** Log position that the replica must have reached; absent at the primary. */
    waitFor: logMark.optional(),
  }),
  /** Requests a transaction at a member that the receiving instance hosts. */
  z.object({
    kind: z.literal('transaction.begin'),
    /** Number of the transaction, unique on its link. */
    transaction: z.number(),
    ...memberRequest,
    readOnly: z.boolean(),
    waitFor: logMark.optional(),
  }),
  /** Requests a statement inside a transaction, or its commit. */
  z.object({
    kind: z.literal('transaction.run'),
    transaction: z.number(),
    ...statement,
    values: z.array(z.tuple([z.string(), z.string()])),
    timeoutMs: z.number(),
  }),
  /** Ends a transaction: rolls it back if it is open, and releases its connection. */
  z.object({ kind: z.literal('transaction.end'), transaction: z.number() }),
  /** Response to `statement.run`, `transaction.begin` and `transaction.run`. */
  z.object({
    kind: z.literal('member.result'),
    /**
     * `answered`: the member replied; `lost`: no reply arrived; `refused`: the statement was not sent
     * to the member.
     */
    outcome: z.enum(['answered', 'lost', 'refused']),
    reply: z
      .object({
        rows: z.array(z.string()),
        signature: z.string().optional(),
        error: wireError.optional(),
        state: z.enum(['idle', 'open', 'failed']),
        mark: logMark.optional(),
      })
      .optional(),
    /** Why there is no reply. */
    reason: z.string().optional(),
    /** For `refused`: the kind of refusal. */
    refusal: z
      .enum([
        'timeout',
        'unreachable',
        'too-large',
        'wrong-member',
        'overloaded',
        'closed',
        'key',
        'stale-key',
        'stale-primary',
        'primary',
      ])
      .optional(),
    /** For `lost`: false only if the statement is certain not to have reached the member. */
    wasSent: z.boolean().optional(),
    /** Statements that wait for or run at the member. */
    pending: z.number().optional(),
    /** Mean time of statements of the request's priority at the member, in milliseconds. */
    statementMs: z.number().optional(),
  }),
  /** Announces that the sender is stopping and hosts no further statements. */
  z.object({ kind: z.literal('host.leaving') }),
  /** Requests a check whether the receiving instance can reach a member. */
  z.object({ kind: z.literal('member.probe'), member: z.string() }),
  z.object({ kind: z.literal('member.probed'), isAlive: z.boolean() }),
  /** Requests the log position of a primary that the receiving instance hosts. */
  z.object({ kind: z.literal('primary.sample'), member: z.string() }),
  /** Response to `primary.sample`; the primary held the position `ageMs` before the response. */
  z.object({ kind: z.literal('primary.sampled'), mark: logMark, ageMs: z.number() }),
] as const;
