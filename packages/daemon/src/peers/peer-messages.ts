import * as z from 'zod';
import { hostingBodySchemas } from './hosting-messages.js';

/** Version of the protocol; instances of different versions refuse each other. */
export const PEER_PROTOCOL_VERSION = 1;

/** Messages that host members' connections; instances of earlier versions do not know them. */
export const MEMBER_HOSTING_FEATURE = 'member-hosting';

/** Large messages in parts; instances of earlier versions accept none above the size of a frame. */
export const MESSAGE_PARTS_FEATURE = 'message-parts';

/** Optional parts of the protocol that this version supports. */
export const SUPPORTED_FEATURES: readonly string[] = [
  MEMBER_HOSTING_FEATURE,
  MESSAGE_PARTS_FEATURE,
];

/** Status of a member as one watcher received it. */
const memberStatus = z.object({
  member: z.string(),
  role: z.enum(['primary', 'replica', 'fenced']),
  term: z.number(),
  /** End of the received log. */
  position: z.number(),
  /** End of the applied log, which reads see. */
  applied: z.number(),
  /** Highest term that the member has promised; it refuses orders of lower terms. */
  promisedTerm: z.number(),
  /** For a replica: the member that it receives the log from. */
  source: z.string().optional(),
  /** For a primary: whether a majority of the group has responded to it recently. */
  hasMajority: z.boolean(),
  /** For a primary: number of open write transactions. */
  openTransactions: z.number(),
});

const groupView = z.object({
  group: z.string(),
  watcher: z.string(),
  term: z.number(),
  primary: z.string().optional(),
  /** Whether instances should delay new write transactions while the primary may change. */
  holding: z.boolean(),
  members: z.array(memberStatus).max(16),
  /** Members whose last order got a response. */
  reachable: z.array(z.string()).max(16),
});

/** A changed path and its new value; without a value the path is deleted. */
const settingsChange = z.object({ path: z.string(), value: z.unknown().optional() });

/**
 * A reading of the responding instance's clock, valid only for that instance until it restarts.
 * `life` identifies the incarnation, `at` is the reading.
 */
const clockToken = z.object({ life: z.string(), at: z.number() });

/**
 * Log position of a group's primary at some time. In a request, `ms` is the time from the
 * reading in the token to the sample. In a response, it is the sample's age, which the receiver
 * counts back from the time at which it sent the request.
 */
const groupSample = z.object({
  group: z.string(),
  member: z.string(),
  term: z.number(),
  position: z.number(),
  ms: z.number(),
});

const storeEvent = z.object({
  key: z.string(),
  /** Absent if the key was deleted. */
  item: z
    .object({
      value: z.custom<Uint8Array>((value) => value instanceof Uint8Array),
      revision: z.number(),
      createdRevision: z.number(),
    })
    .optional(),
});

/** A key of the store with a value that it held. */
const storedValue = z.object({
  key: z.string(),
  value: z.custom<Uint8Array>((value) => value instanceof Uint8Array),
});

/** All messages that instances send to each other; incoming messages are checked against it. */
export const peerBodySchema = z.discriminatedUnion('kind', [
  /** Requests settings newer than a revision, and the age of the peer's settings. */
  z.object({ kind: z.literal('settings.pull'), revision: z.number() }),
  z.object({
    kind: z.literal('settings.state'),
    revision: z.number(),
    /** Time since the peer's settings were last confirmed to be the newest. */
    ageMs: z.number().optional(),
    /** Revision that the changes apply to; absent if they are the whole state. */
    from: z.number().optional(),
    /** Absent if the requesting instance is up to date. */
    changes: z.array(settingsChange).optional(),
  }),
  /** Announces newer settings, which are then pulled. */
  z.object({ kind: z.literal('settings.news'), revision: z.number() }),
  /** Requests a change of settings from a writer. */
  z.object({
    kind: z.literal('settings.write'),
    changes: z.array(settingsChange),
    expectedRevision: z.number().optional(),
    changeId: z.string(),
    author: z.string(),
  }),
  z.object({
    kind: z.literal('settings.written'),
    outcome: z.enum(['accepted', 'conflict', 'unknown', 'unavailable', 'invalid']),
    revision: z.number(),
    findings: z.array(z.object({ source: z.string(), field: z.string(), message: z.string() })),
  }),
  /** Requests the time since a writer last wrote settings. */
  z.object({ kind: z.literal('writer.attest') }),
  /** Response to `writer.attest`; `quietForMs` is 0 if a write may still take effect. */
  z.object({ kind: z.literal('writer.attested'), quietForMs: z.number(), revision: z.number() }),
  /** Subscribes to views of a group for a limited time. */
  z.object({ kind: z.literal('group.subscribe'), group: z.string() }),
  z.object({ kind: z.literal('group.view'), view: groupView }),
  /** A watcher's current suspicion of a group's primary. */
  z.object({
    kind: z.literal('group.opinion'),
    opinion: z.object({
      group: z.string(),
      watcher: z.string(),
      failureDomain: z.string(),
      term: z.number(),
      suspects: z.boolean(),
    }),
  }),
  /** Requests a loan of tokens of an organisation's rate. */
  z.object({
    kind: z.literal('loan.ask'),
    organisation: z.string(),
    tokens: z.number(),
    /** Priority of the requests that need the tokens, 0 is the most urgent; absent if it is unknown. */
    priority: z.number().optional(),
  }),
  /** Response to `loan.ask`; without a loan if the lender grants none. */
  z.object({
    kind: z.literal('loan.offer'),
    /** `lifeMs` is the time for which the loan is valid. */
    loan: z.object({ id: z.number(), tokens: z.number(), lifeMs: z.number() }).optional(),
    /** Tokens that the lender could still lend. */
    spare: z.number(),
  }),
  /** Returns the unspent tokens of a loan to its lender. */
  z.object({
    kind: z.literal('loan.settle'),
    organisation: z.string(),
    /** Id of the loan. */
    loan: z.number(),
    unspent: z.number(),
  }),
  /** Requests the loan of a permit for one connection to a member. */
  z.object({
    kind: z.literal('permit.ask'),
    group: z.string(),
    member: z.string(),
    /** Connections that the borrower already holds. */
    has: z.number(),
  }),
  z.object({
    kind: z.literal('permit.offer'),
    loan: z.object({ id: z.number(), lifeMs: z.number() }).optional(),
  }),
  /** Liveness check, answered with `done`. */
  z.object({ kind: z.literal('peer.ping') }),
  /** Requests that an instance stop using a group's primary, which is being changed. */
  z.object({ kind: z.literal('primary.suspend'), group: z.string(), epoch: z.number() }),
  /** Reports an unresponsive primary to the coordinator, the instance that changes primaries. */
  z.object({ kind: z.literal('primary.suspect'), group: z.string(), member: z.string() }),
  ...hostingBodySchemas,
  /** Requests changes of the store after a revision; waits up to `waitMs` for the first. */
  z.object({
    kind: z.literal('store.watch'),
    after: z.number(),
    /** Era of the store that the revision belongs to; absent if the sender knows no eras. */
    era: z.number().optional(),
    waitMs: z.number(),
  }),
  z.object({
    kind: z.literal('store.changes'),
    /** Whether the requested changes are no longer available. */
    isLost: z.boolean().optional(),
    changes: z
      .object({
        events: z.array(storeEvent),
        revision: z.number(),
        /** Absent if the relay knows no eras. */
        era: z.number().optional(),
      })
      .optional(),
  }),
  /** Requests all contents of the store that a relay holds. */
  z.object({ kind: z.literal('store.list') }),
  z.object({
    kind: z.literal('store.listed'),
    /** Contents of the store; absent if the relay has not loaded them. */
    listing: z
      .object({ events: z.array(storeEvent), revision: z.number(), era: z.number() })
      .optional(),
  }),
  /** Requests a check that keys still have these revisions, and the age of that check. */
  z.object({
    kind: z.literal('store.check'),
    /** Era of the store that the revisions belong to; absent if the sender knows no eras. */
    era: z.number().optional(),
    expectations: z.array(z.tuple([z.string(), z.number()])),
    /** Token of the receiver's last response; the samples' times count from it. */
    token: clockToken.optional(),
    samples: z.array(groupSample).optional(),
  }),
  z.object({
    kind: z.literal('store.checked'),
    /** Era of the contents that the relay holds; absent if it knows no eras. */
    era: z.number().optional(),
    /** `conflict`: the store holds a newer revision or era; `unknown`: the check has no result. */
    outcome: z.enum(['held', 'conflict', 'unknown']),
    /** Time since the check at the store. */
    ageMs: z.number().optional(),
    token: clockToken.optional(),
    samples: z.array(groupSample).optional(),
  }),
  /**
   * Requests records that the receiver knows in newer versions, after the store has returned from an
   * older copy; voids the receiver's leases of earlier eras.
   */
  z.object({
    kind: z.literal('records.recall'),
    /** The store's era that the sender has seen. */
    era: z.number(),
    /** Version of the settings that the sender knows; absent if it knows none. */
    settingsVersion: z.number().optional(),
    /** Highest epoch of each group's primary record that the sender knows. */
    epochs: z.array(z.tuple([z.string(), z.number()])),
  }),
  z.object({
    kind: z.literal('records.recalled'),
    records: z.array(storedValue),
    /** Time for which orders under a void lease may still take effect. */
    leaseMs: z.number(),
  }),
  /** Response without content. */
  z.object({ kind: z.literal('done') }),
  /** Response to a request that failed while it was handled; it may have had an effect. */
  z.object({ kind: z.literal('failed') }),
  /** Response to a request that the receiver does not know, such as one of a later version. */
  z.object({ kind: z.literal('unsupported') }),
]);

/** Content of a message, without its envelope. */
export type PeerBody = z.infer<typeof peerBodySchema>;

/** Kind of a message. */
export type PeerMessageKind = PeerBody['kind'];

/** A message of one kind. */
export type PeerBodyOf<Kind extends PeerMessageKind> = Extract<PeerBody, { kind: Kind }>;

/** First message in both directions; its proof shows that the sender holds the fleet's secret. */
export const helloSchema = z.object({
  version: z.literal(PEER_PROTOCOL_VERSION),
  instance: z.string().min(1).max(200),
  nonce: z.string().regex(/^[\da-f]{32}$/),
  // Its length in bytes must be that of the expected one, or the comparison throws.
  proof: z
    .string()
    .regex(/^[\da-f]{64}$/)
    .optional(),
  /** Optional parts of the protocol that the sender supports; unknown ones are ignored. */
  features: z.array(z.string()).max(32).optional(),
});

/** First message in both directions. */
export type Hello = z.infer<typeof helloSchema>;

/** A message with the numbers that match responses to requests. */
export const envelopeSchema = z.object({
  /** Number of this request; absent if no response is expected. */
  ask: z.number().optional(),
  /** Number of the request that this message responds to. */
  answer: z.number().optional(),
  body: peerBodySchema,
});

/** A message with the numbers that match responses to requests. */
export type Envelope = z.infer<typeof envelopeSchema>;

/** The parts of an envelope that are read if its body cannot be decoded. */
export const envelopeNumbersSchema = z.object({
  ask: z.number().optional(),
  answer: z.number().optional(),
  body: z.object({ kind: z.string() }),
});
