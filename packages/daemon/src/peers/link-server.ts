import { createServer, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { type WebSocket, WebSocketServer } from 'ws';
import { LinkMemory } from './link-memory.js';
import type { PeerAddress, PeerHubLimits } from './peer-hub-types.js';
import { MAX_PEER_FRAME_BYTES } from './peer-link.js';

const UPGRADE_REQUIRED_STATUS = 426;

/** Listens for the links that other instances open, within limits. */
export class LinkServer {
  private readonly server: Server;

  private readonly webSocketServer: WebSocketServer;

  /**
   * @param limits - limits of what other instances make this one hold; undefined for none
   * @param onLink - receives each new connection, and what counts the memory that it holds
   */
  constructor(
    private readonly limits: PeerHubLimits | undefined,
    onLink: (webSocket: WebSocket, held: LinkMemory | undefined) => void,
  ) {
    const server = createServer((_, response) => {
      response.writeHead(UPGRADE_REQUIRED_STATUS).end();
    });
    this.server = server;
    server.on('connection', (socket) => limits?.guard.admit(socket));
    this.webSocketServer = new WebSocketServer({ server, maxPayload: MAX_PEER_FRAME_BYTES });
    this.webSocketServer.on('connection', (webSocket, { socket }) => {
      if (limits === undefined) {
        onLink(webSocket, undefined);
        return;
      }
      const { budget, guard } = limits;
      const held: LinkMemory = new LinkMemory(socket, budget, () =>
        guard.recordEstablished(socket, () => held.isExpecting),
      );
      onLink(webSocket, held);
    });
  }

  /**
   * Starts listening.
   *
   * @param address - address to listen on; port 0 stands for any free one
   * @returns the port
   * @throws the system's error if the address is in use
   */
  async start(address: PeerAddress): Promise<number> {
    await new Promise<void>((resolve, reject) => {
      // Emits the errors of the server too.
      this.webSocketServer.once('error', reject);
      this.server.listen({ ...address }, resolve);
    });
    return (this.server.address() as AddressInfo).port;
  }

  /** Stops listening; open links stay open. */
  stop(): void {
    this.webSocketServer.close();
    this.server.close();
    this.limits?.guard.stop();
  }
}
