import * as z from 'zod';

const port = z.number().int().min(1).max(65_535);

/** Another instance that is contacted while the platform's list of instances is not available. */
const seed = z.strictObject({
  id: z.string().min(1),
  failureDomain: z.string().min(1),
  host: z.string().min(1),
  peerPort: port,
});

/**
 * Schema of a process's settings: addresses, peers, limits and timeouts. The reference page is
 * generated from the descriptions.
 */
export const processSettingsSchema = z.strictObject({
  instance: z
    .strictObject({
      id: z.string().min(1).describe('Name of this instance; one process at a time may bear it.'),
      failureDomain: z.string().min(1).describe('Failure domain in which this instance stands.'),
    })
    .describe('Who this process is.'),
  callers: z
    .strictObject({
      host: z.string().default('127.0.0.1').describe('Address on which callers are served.'),
      port: port.default(6432).describe('Port on which callers are served.'),
      messageLimitBytes: z
        .number()
        .int()
        .min(1024)
        .default(16_777_216)
        .describe('Largest message of a caller, in bytes.'),
      mostSessions: z.number().int().min(1).default(10_000).describe('Most callers at once.'),
      startupTimeoutMs: z
        .number()
        .int()
        .min(10)
        .default(5000)
        .describe('Time in which a caller must have logged in, in milliseconds.'),
      deadlineMs: z
        .number()
        .int()
        .min(10)
        .default(8000)
        .describe('Time in which a request must be done, in milliseconds.'),
      allowClearKeys: z
        .boolean()
        .default(false)
        .describe('Whether keys may come unencrypted from other machines.'),
      tls: z
        .strictObject({
          certificateFile: z.string().describe('File with the certificate chain in PEM.'),
          keyFile: z.string().describe('File with the private key in PEM.'),
        })
        .optional()
        .describe('Certificate for callers; read again on SIGHUP.'),
    })
    .prefault({})
    .describe('Serving callers.'),
  peers: z
    .strictObject({
      host: z.string().default('127.0.0.1').describe('Address for other instances.'),
      port: port.describe('Port for other instances, TCP and UDP.'),
      secret: z.string().min(16).describe("The fleet's secret, shared by all instances."),
      seeds: z.array(seed).default([]).describe('Instances asked when the platform is out.'),
    })
    .describe('Talking to other instances.'),
  admin: z
    .strictObject({
      host: z.string().default('127.0.0.1').describe('Address of the administration API.'),
      port: port.default(6480).describe('Port of the administration API and metrics.'),
    })
    .prefault({})
    .describe('Administration API, metrics, state.'),
  platform: z
    .strictObject({
      endpoint: z.url().describe("Base address of the platform's service."),
      timeoutMs: z
        .number()
        .int()
        .min(10)
        .default(1000)
        .describe('Longest wait for the platform, in milliseconds.'),
    })
    .describe("The platform's key-value service."),
  keys: z
    .strictObject({
      staleLimitMs: z
        .number()
        .int()
        .min(100)
        .default(5000)
        .describe('How long a withdrawal may go unnoticed, in milliseconds.'),
      whenStale: z
        .enum(['refuse', 'serve'])
        .default('refuse')
        .describe('What becomes of requests with a key after that.'),
    })
    .prefault({})
    .describe('Withdrawn keys at an instance that is cut off.'),
  failover: z
    .strictObject({
      probeEveryMs: z
        .number()
        .int()
        .min(50)
        .max(2000)
        .default(200)
        .describe(
          'Period of probes of a primary, in milliseconds; replicas are probed at a fifth.',
        ),
      suspectAfterMs: z
        .number()
        .int()
        .min(200)
        .max(5000)
        .default(700)
        .describe('A primary without a good answer for this long is suspected, in milliseconds.'),
    })
    .prefault({})
    .describe('Watching database groups.'),
  shutdown: z
    .strictObject({
      graceMs: z
        .number()
        .int()
        .min(0)
        .default(20_000)
        .describe('Longest wait for open transactions at a stop, in milliseconds.'),
    })
    .prefault({})
    .describe('Stopping.'),
  logs: z
    .strictObject({
      level: z
        .enum(['debug', 'info', 'warn', 'error', 'silent'])
        .default('info')
        .describe('Least level that is logged.'),
    })
    .prefault({})
    .describe('Logs.'),
});

/** Validated settings of one process, with defaults applied. */
export type ProcessSettings = z.infer<typeof processSettingsSchema>;
