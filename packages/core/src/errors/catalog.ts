/** Every error that a caller or operator can meet, in one place. */

/** What is certain about a refused or interrupted request. */
export type Outcome = 'not-run' | 'done' | 'unknown';

/** One kind of error. */
export interface ErrorEntry<Data = void> {
  readonly name: string;
  readonly title: string;
  /** SQLSTATE given to PostgreSQL clients. */
  readonly sqlState: string;
  readonly outcome: Outcome;
  readonly message: (data: Data) => string;
  readonly hint: string;
}

/** Names the database that a caller asked for. */
export interface DatabaseData {
  readonly database: string;
}

/** Tells how long the caller should wait. */
export interface RetryData {
  readonly retryAfterMs: number;
}

/** Tells why something could not be done. */
export interface ReasonData {
  readonly reason: string;
}

/** The bytes announced and allowed. */
export interface SizeData {
  readonly sizeBytes: number;
  readonly limitBytes: number;
}

/** The startup packet is none that the protocol knows. */
export const startupMalformed: ErrorEntry = {
  name: 'StartupMalformed',
  title: 'The connection did not start with a PostgreSQL packet',
  sqlState: '08P01',
  outcome: 'not-run',
  message: () => 'the first packet is not a PostgreSQL startup packet',
  hint: 'Connect with a client that speaks PostgreSQL protocol version 3.',
};

/** A message breaks the protocol. */
export const protocolViolation: ErrorEntry<ReasonData> = {
  name: 'ProtocolViolation',
  title: 'A message broke the protocol',
  sqlState: '08P01',
  outcome: 'not-run',
  message: ({ reason }) => `protocol violation: ${reason}`,
  hint: 'Check the client library; the connection is closed.',
};

/** A message is larger than allowed. */
export const messageTooLarge: ErrorEntry<SizeData> = {
  name: 'MessageTooLarge',
  title: 'A message is larger than allowed',
  sqlState: '54000',
  outcome: 'not-run',
  message: ({ sizeBytes, limitBytes }) => `message of ${sizeBytes} bytes; limit ${limitBytes}`,
  hint: 'Send smaller statements, or raise callers.messageLimitBytes.',
};

/** The connection must be encrypted before a key may be sent. */
export const encryptionRequired: ErrorEntry = {
  name: 'EncryptionRequired',
  title: 'A key may not be sent in clear',
  sqlState: '28000',
  outcome: 'not-run',
  message: () => 'TLS is required before a key is sent',
  hint: 'Connect with sslmode=require.',
};

/** The key is none that is known, or no key came. */
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

/** The instance cannot know whether the key has been withdrawn. */
export const settingsStale: ErrorEntry = {
  name: 'SettingsStale',
  title: 'The settings are too old to trust a key',
  sqlState: '57P03',
  outcome: 'not-run',
  message: () => 'this instance cannot learn whether the key has been withdrawn',
  hint: 'Retry through another instance; see operators/platform-outage.md.',
};

/** No route bears the database's name. */
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

/** The organisation has used up its rate and burst. */
export const rateExceeded: ErrorEntry<RetryData> = {
  name: 'RateExceeded',
  title: 'The organisation is above its rate',
  sqlState: '53400',
  outcome: 'not-run',
  message: ({ retryAfterMs }) => `rate exceeded; retry after ${Math.ceil(retryAfterMs)} ms`,
  hint: 'Slow down, or ask the operator for a higher rate.',
};

/** No connection to a member came free in time. */
export const connectionsExhausted: ErrorEntry = {
  name: 'ConnectionsExhausted',
  title: 'No connection to the database came free in time',
  sqlState: '53300',
  outcome: 'not-run',
  message: () => 'no connection to the database came free in time',
  hint: 'Retry with back-off; see operators/connection-shortage.md.',
};

/** The instance serves as many callers as it may. */
export const callersExhausted: ErrorEntry = {
  name: 'CallersExhausted',
  title: 'The instance serves as many callers as it may',
  sqlState: '53300',
  outcome: 'not-run',
  message: () => 'too many callers on this instance',
  hint: 'Connect again; the balancer will choose another instance.',
};

/** The group has no primary that can be reached. */
export const primaryUnavailable: ErrorEntry = {
  name: 'PrimaryUnavailable',
  title: 'The database has no primary within reach',
  sqlState: '57P03',
  outcome: 'not-run',
  message: () => 'no primary of the database can be reached',
  hint: 'Retry; a change of primary ends within seconds.',
};

/** No member has data as fresh as the request needs. */
export const dataNotFresh: ErrorEntry = {
  name: 'DataNotFresh',
  title: 'No member within reach is fresh enough',
  sqlState: 'LH002',
  outcome: 'not-run',
  message: () => 'no member within reach has data as fresh as the request needs',
  hint: 'Accept older data with heatherledge.max_age_ms, or retry.',
};

/** The transaction was lost before its commit was sent. */
export const transactionLost: ErrorEntry<ReasonData> = {
  name: 'TransactionLost',
  title: 'The transaction was rolled back',
  sqlState: '40001',
  outcome: 'not-run',
  message: ({ reason }) => `transaction was rolled back: ${reason}`,
  hint: 'Run the whole transaction again.',
};

/** Whether the write took effect could not be found out in time. */
export const outcomeUnknown: ErrorEntry<ReasonData> = {
  name: 'OutcomeUnknown',
  title: 'The outcome of the write is not known',
  sqlState: '08007',
  outcome: 'unknown',
  message: ({ reason }) => `outcome of the write is not known: ${reason}`,
  hint: 'Retry with the same idempotency key to learn the outcome.',
};

/** The idempotency key belongs to a transaction that is done. */
export const alreadyDone: ErrorEntry = {
  name: 'AlreadyDone',
  title: 'A transaction with this idempotency key is done',
  sqlState: 'LH001',
  outcome: 'done',
  message: () => 'a transaction with this idempotency key is already done',
  hint: 'Treat the transaction as committed; use a new key for a new one.',
};

/** A feature that pooling by transaction cannot honour. */
export const featureRefused: ErrorEntry<ReasonData> = {
  name: 'FeatureRefused',
  title: 'Pooling by transaction cannot honour this',
  sqlState: '0A000',
  outcome: 'not-run',
  message: ({ reason }) => `${reason} is not supported through a transaction pool`,
  hint: 'See operators/session-features.md.',
};

/** A session position that is malformed, forged or another organisation's. */
export const positionRejected: ErrorEntry = {
  name: 'PositionRejected',
  title: 'The session position is not valid',
  sqlState: '22023',
  outcome: 'not-run',
  message: () => 'session position is not valid for this organisation',
  hint: 'Pass on heatherledge.position exactly as it was given.',
};

/** A parameter of the proxy has an impossible value. */
export const parameterRejected: ErrorEntry<ReasonData> = {
  name: 'ParameterRejected',
  title: 'A parameter has an impossible value',
  sqlState: '22023',
  outcome: 'not-run',
  message: ({ reason }) => reason,
  hint: 'See operators/callers.md for the parameters and their values.',
};

/** The instance stops; the caller should connect elsewhere. */
export const instanceStopping: ErrorEntry = {
  name: 'InstanceStopping',
  title: 'The instance is stopping',
  sqlState: '57P01',
  outcome: 'not-run',
  message: () => 'this instance is stopping',
  hint: 'Connect again; the balancer will choose another instance.',
};

/** The request's time is over. */
export const deadlineExceeded: ErrorEntry = {
  name: 'DeadlineExceeded',
  title: "The request's time is over",
  sqlState: '57014',
  outcome: 'not-run',
  message: () => 'the request was not started in time',
  hint: 'Retry with back-off.',
};

/** Two operators changed the same settings. */
export const revisionConflict: ErrorEntry<ReasonData> = {
  name: 'RevisionConflict',
  title: 'The settings were changed by somebody else',
  sqlState: '40001',
  outcome: 'not-run',
  message: ({ reason }) => reason,
  hint: 'Read the present settings and make the change again.',
};

/** Whether a change of settings was accepted is not known. */
export const changeUnknown: ErrorEntry = {
  name: 'ChangeUnknown',
  title: 'Whether the change was accepted is not known',
  sqlState: '08007',
  outcome: 'unknown',
  message: () => 'the platform did not answer; whether the change was accepted is not known',
  hint: 'Ask again with the same change id once the platform answers.',
};

/** The platform's store cannot be reached. */
export const platformUnavailable: ErrorEntry = {
  name: 'PlatformUnavailable',
  title: "The platform's store cannot be reached",
  sqlState: '57P03',
  outcome: 'not-run',
  message: () => "the platform's store cannot be reached; nothing was changed",
  hint: 'Traffic goes on with the present settings; change them later.',
};

/** Every entry, for the reference page and for metrics. */
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

/** An entry of the catalogue with its data filled in. */
export class ProxyError extends Error {
  /**
   * @param entry - kind of error
   * @param text - message for the caller
   */
  private constructor(
    readonly entry: Omit<ErrorEntry<never>, 'message'>,
    text: string,
  ) {
    super(text);
    this.name = entry.name;
  }

  /**
   * @param entry - kind of error
   * @param data - what the message tells
   * @returns the error, ready to be sent
   */
  static create<Data>(entry: ErrorEntry<Data>, data: Data): ProxyError {
    return new ProxyError(entry, entry.message(data));
  }

  /** @returns what is certain about the request */
  get outcome(): Outcome {
    return this.entry.outcome;
  }
}
