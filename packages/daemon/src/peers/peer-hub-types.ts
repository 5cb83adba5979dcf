import type { Socket } from 'node:net';
import type { InstanceId, InstanceRecord, MemoryBudget } from '@heatherledge/core';
import type { PeerLink } from './peer-link.js';
import type { PeerBody, PeerBodyOf, PeerMessageKind } from './peer-messages.js';

/**
 * Handles messages of one kind. A request without a result is answered with `done`, one whose handler
 * throws with `failed`.
 */
export type PeerHandler<Kind extends PeerMessageKind> = (
  body: PeerBodyOf<Kind>,
  from: InstanceId,
  link: PeerLink,
) => Promise<PeerBody | undefined> | PeerBody | undefined;

/** Finds the record of an instance; undefined if it is unknown. */
export type PeerResolver = (id: InstanceId) => InstanceRecord | undefined;

/** Receives a problem with a message of another instance. */
export type PeerProblemListener = (problem: {
  readonly peer: InstanceId | undefined;
  /** Kind of the message, if it is known. */
  readonly kind: string | undefined;
  readonly reason: string;
}) => void;

/** Address that the hub listens on. */
export interface PeerAddress {
  readonly host: string;
  readonly port: number;
}

/** Decides which connections of other instances are kept. */
export interface LinkGuard {
  /** @returns whether a connection that was just accepted is kept; one that is not has been closed */
  admit(socket: Socket): boolean;
  /**
   * Records that the handshake of a connection is done.
   *
   * @param isExpecting - whether the other instance has begun a message that it has not ended
   */
  recordEstablished(socket: Socket, isExpecting: () => boolean): void;
  /** Stops checking connections. */
  stop(): void;
}

/** Limits of what other instances make this one hold. */
export interface PeerHubLimits {
  /** Memory of the frames that have not arrived as a whole, and of those that are not sent. */
  readonly budget: MemoryBudget;
  readonly guard: LinkGuard;
}

/** Counters for metrics and the state dump; bytes are added when a link closes. */
export interface PeerCounts {
  bytesSent: number;
  bytesReceived: number;
  messagesSent: number;
  messagesReceived: number;
  /** Links closed because of a malformed or unauthenticated frame, or a handshake timeout. */
  refused: number;
}

/** @returns counters that have counted nothing yet */
export function createPeerCounts(): PeerCounts {
  return { bytesSent: 0, bytesReceived: 0, messagesSent: 0, messagesReceived: 0, refused: 0 };
}

/** What a request needs of its link. */
export interface ExchangeOptions {
  /** Optional part of the protocol that the receiver must support. */
  readonly feature?: string;
  /** Maximum wait for the link to open, in milliseconds; the request is not sent after it. */
  readonly connectTimeoutMs?: number;
}

const HOST_PATTERN = /^[\w.-]+$/;

/**
 * @param record - an instance, at the address that its record in the store names
 * @returns the URL of its end of a link, or undefined if the address names no host
 */
export function formatPeerUrl({
  host,
  peerPort,
}: Pick<InstanceRecord, 'host' | 'peerPort'>): string | undefined {
  const url = `ws://${host}:${peerPort}`;
  return HOST_PATTERN.test(host) && URL.canParse(url) ? url : undefined;
}
