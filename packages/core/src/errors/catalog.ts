/** What is known about the effect of a request that failed; sent to callers with the error. */
export type Outcome = 'not-run' | 'done' | 'unknown';

/** One kind of error, as callers and operators see it. */
export interface ErrorEntry<Data = void> {
  readonly name: string;
  readonly title: string;
  /** SQLSTATE sent to PostgreSQL clients. */
  readonly sqlState: string;
  readonly outcome: Outcome;
  readonly message: (data: Data) => string;
  readonly hint: string;
}

/** Message data of errors about a database. */
export interface DatabaseData {
  readonly database: string;
}

/** Message data of errors after which the caller should wait before it retries. */
export interface RetryData {
  readonly retryAfterMs: number;
}

/** Message data of errors that have several possible reasons. */
export interface ReasonData {
  readonly reason: string;
}

/** Message data of errors about a message's size. */
export interface SizeData {
  /** Size that the message's header announced. */
  readonly sizeBytes: number;
  readonly limitBytes: number;
}

/** The first packet is not a startup packet of the protocol. */
export const startupMalformed: ErrorEntry = {
  name: 'StartupMalformed',
  title: 'The connection did not start with a PostgreSQL packet',
  sqlState: '08P01',
  outcome: 'not-run',
  message: () => 'the first packet is not a PostgreSQL startup packet',
  hint: 'Connect with a client that speaks PostgreSQL protocol version 3.',
};

/** A message violates the protocol. */
export const protocolViolation: ErrorEntry<ReasonData> = {
  name: 'ProtocolViolation',
  title: 'A message broke the protocol',
  sqlState: '08P01',
  outcome: 'not-run',
  message: ({ reason }) => `protocol violation: ${reason}`,
  hint: 'Check the client library; the connection is closed.',
};

/** A message exceeds the size limit. */
export const messageTooLarge: ErrorEntry<SizeData> = {
  name: 'MessageTooLarge',
  title: 'A message is larger than allowed',
  sqlState: '54000',
  outcome: 'not-run',
  message: ({ sizeBytes, limitBytes }) => `message of ${sizeBytes} bytes; limit ${limitBytes}`,
  hint: 'Send smaller statements, or raise callers.messageLimitBytes.',
};

/** The connection has to use TLS before a key may be sent. */
export const encryptionRequired: ErrorEntry = {
  name: 'EncryptionRequired',
  title: 'A key may not be sent in clear',
  sqlState: '28000',
  outcome: 'not-run',
  message: () => 'TLS is required before a key is sent',
  hint: 'Connect with sslmode=require.',
};

/** The key is unknown, or the caller sent none. */
export const keyRejected: ErrorEntry = {
  name: 'KeyRejected',
  title: 'The key is not valid',
  sqlState: '28P01',
  outcome: 'not-run',
  message: () => 'key is not valid for this user',
  hint: 'Give the key as password; ask the operator if it was withdrawn.',
};

/** The key was withdrawn while its caller was connected. */
export const keyWithdrawn: ErrorEntry = {
  name: 'KeyWithdrawn',
  title: 'The key has been withdrawn',
  sqlState: '28P01',
  outcome: 'not-run',
  message: () => 'key has been withdrawn',
  hint: 'Connect again with a current key.',
};

/** The instance's settings are too old to tell whether the key has been withdrawn. */
export const settingsStale: ErrorEntry = {
  name: 'SettingsStale',
  title: 'The settings are too old to trust a key',
  sqlState: '57P03',
  outcome: 'not-run',
  message: () => 'this instance cannot learn whether the key has been withdrawn',
  hint: 'Retry through another instance; see operators/platform-outage.md.',
};

/** No route exists for the database's name. */
export const databaseUnknown: ErrorEntry<DatabaseData> = {
  name: 'DatabaseUnknown',
  title: 'The database is not known',
  sqlState: '3D000',
  outcome: 'not-run',
  message: ({ database }) => `database "${database}" does not exist`,
  hint: 'Check the database name; routes are listed by `heatherledge settings list`.',
};

/** The organisation may not use the database. */
export const databaseForbidden: ErrorEntry<DatabaseData> = {
  name: 'DatabaseForbidden',
  title: 'The organisation may not use the database',
  sqlState: '42501',
  outcome: 'not-run',
  message: ({ database }) => `database "${database}" is not open to this organisation`,
  hint: 'Ask the operator to add the organisation to the route.',
};

/** The organisation has exhausted its rate and burst. */
export const rateExceeded: ErrorEntry<RetryData> = {
  name: 'RateExceeded',
  title: 'The organisation is above its rate',
  sqlState: '53400',
  outcome: 'not-run',
  message: ({ retryAfterMs }) => `rate exceeded; retry after ${Math.ceil(retryAfterMs)} ms`,
  hint: 'Slow down, or ask the operator for a higher rate.',
};

/** No connection to a member became available in time. */
export const connectionsExhausted: ErrorEntry = {
  name: 'ConnectionsExhausted',
  title: 'No connection to the database came free in time',
  sqlState: '53300',
  outcome: 'not-run',
  message: () => 'no connection to the database came free in time',
  hint: 'Retry with back-off; see operators/connection-shortage.md.',
};

/** The instance has reached its limit of concurrent callers. */
export const callersExhausted: ErrorEntry = {
  name: 'CallersExhausted',
  title: 'The instance serves as many callers as it may',
  sqlState: '53300',
  outcome: 'not-run',
  message: () => 'too many callers on this instance',
  hint: 'Connect again; the balancer will choose another instance.',
};

/** The group has no reachable primary. */
export const primaryUnavailable: ErrorEntry = {
  name: 'PrimaryUnavailable',
  title: 'The database has no primary within reach',
  sqlState: '57P03',
  outcome: 'not-run',
  message: () => 'no primary of the database can be reached',
  hint: 'Retry; a change of primary ends within seconds.',
};

/** No reachable member has data as recent as the request needs. */
export const dataNotFresh: ErrorEntry = {
  name: 'DataNotFresh',
  title: 'No member within reach is fresh enough',
  sqlState: 'LH002',
  outcome: 'not-run',
  message: () => 'no member within reach has data as fresh as the request needs',
  hint: 'Accept older data with heatherledge.max_age_ms, or retry.',
};

/** The transaction ended before its commit was sent, so it was rolled back. */
export const transactionLost: ErrorEntry<ReasonData> = {
  name: 'TransactionLost',
  title: 'The transaction was rolled back',
  sqlState: '40001',
  outcome: 'not-run',
  message: ({ reason }) => `transaction was rolled back: ${reason}`,
  hint: 'Run the whole transaction again.',
};

/** The outcome of a write could not be determined in time. */
export const outcomeUnknown: ErrorEntry<ReasonData> = {
  name: 'OutcomeUnknown',
  title: 'The outcome of the write is not known',
  sqlState: '08007',
  outcome: 'unknown',
  message: ({ reason }) => `outcome of the write is not known: ${reason}`,
  hint: 'Retry with the same idempotency key to learn the outcome.',
};

/** The idempotency key belongs to a transaction that has already committed. */
export const alreadyDone: ErrorEntry = {
  name: 'AlreadyDone',
  title: 'A transaction with this idempotency key is done',
  sqlState: 'LH001',
  outcome: 'done',
  message: () => 'a transaction with this idempotency key is already done',
  hint: 'Treat the transaction as committed; use a new key for a new one.',
};

/** The statement uses a feature that transaction pooling does not support. */
export const featureRefused: ErrorEntry<ReasonData> = {
  name: 'FeatureRefused',
  title: 'Pooling by transaction cannot honour this',
  sqlState: '0A000',
  outcome: 'not-run',
  message: ({ reason }) => `${reason} is not supported through a transaction pool`,
  hint: 'See operators/session-features.md.',
};

/** The session position is malformed, forged, or belongs to another organisation. */
export const positionRejected: ErrorEntry = {
  name: 'PositionRejected',
  title: 'The session position is not valid',
  sqlState: '22023',
  outcome: 'not-run',
  message: () => 'session position is not valid for this organisation',
  hint: 'Pass on heatherledge.position exactly as it was given.',
};

/** A parameter of the proxy was set to an invalid value. */
export const parameterRejected: ErrorEntry<ReasonData> = {
  name: 'ParameterRejected',
  title: 'A parameter has an impossible value',
  sqlState: '22023',
  outcome: 'not-run',
  message: ({ reason }) => reason,
  hint: 'See operators/callers.md for the parameters and their values.',
};

/** The instance is shutting down; the caller should reconnect to another one. */
export const instanceStopping: ErrorEntry = {
  name: 'InstanceStopping',
  title: 'The instance is stopping',
  sqlState: '57P01',
  outcome: 'not-run',
  message: () => 'this instance is stopping',
  hint: 'Connect again; the balancer will choose another instance.',
};

/** The request was not started before its deadline. */
export const deadlineExceeded: ErrorEntry = {
  name: 'DeadlineExceeded',
  title: "The request's time is over",
  sqlState: '57014',
  outcome: 'not-run',
  message: () => 'the request was not started in time',
  hint: 'Retry with back-off.',
};

/** The settings were changed by someone else in the meantime. */
export const revisionConflict: ErrorEntry<ReasonData> = {
  name: 'RevisionConflict',
  title: 'The settings were changed by somebody else',
  sqlState: '40001',
  outcome: 'not-run',
  message: ({ reason }) => reason,
  hint: 'Read the present settings and make the change again.',
};

/** The store did not respond to a change of settings, so its outcome is unknown. */
export const changeUnknown: ErrorEntry = {
  name: 'ChangeUnknown',
  title: 'Whether the change was accepted is not known',
  sqlState: '08007',
  outcome: 'unknown',
  message: () => 'the platform did not answer; whether the change was accepted is not known',
  hint: 'Ask again with the same change id once the platform answers.',
};

/** The platform's store is unreachable; nothing was changed. */
export const platformUnavailable: ErrorEntry = {
  name: 'PlatformUnavailable',
  title: "The platform's store cannot be reached",
  sqlState: '57P03',
  outcome: 'not-run',
  message: () => "the platform's store cannot be reached; nothing was changed",
  hint: 'Traffic goes on with the present settings; change them later.',
};

/** All entries, for the generated reference page. */
export const ERROR_CATALOG: readonly ErrorEntry<never>[] = [
  startupMalformed,
  protocolViolation,
  messageTooLarge,
  encryptionRequired,
  keyRejected,
  keyWithdrawn,
  settingsStale,
  databaseUnknown,
  databaseForbidden,
  rateExceeded,
  connectionsExhausted,
  callersExhausted,
  primaryUnavailable,
  dataNotFresh,
  transactionLost,
  outcomeUnknown,
  alreadyDone,
  featureRefused,
  positionRejected,
  parameterRejected,
  instanceStopping,
  deadlineExceeded,
  revisionConflict,
  changeUnknown,
  platformUnavailable,
];

/** Error of the catalogue, with its message filled in. */
export class ProxyError extends Error {
  /**
   * @param entry - kind of error
   * @param message - message for the caller
   */
  private constructor(
    readonly entry: Omit<ErrorEntry<never>, 'message'>,
    message: string,
  ) {
    super(message);
    this.name = entry.name;
  }

  /**
   * Creates an error of the given kind.
   *
   * @param entry - kind of error
   * @param data - data for the message
   */
  static create<Data>(entry: ErrorEntry<Data>, data: Data): ProxyError {
    return new ProxyError(entry, entry.message(data));
  }

  /** What is known about the effect of the request. */
  get outcome(): Outcome {
    return this.entry.outcome;
  }
}
