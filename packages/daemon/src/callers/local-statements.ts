import { PROXY_PARAMETER_PREFIX } from '../sql/parameter-statements.js';
import type { StatementClass } from '../sql/statement-classifier.js';
import { type CallerRequest, createLocalResponse } from './caller-request.js';
import type { CallerState } from './caller-state.js';
import type { ProxyParameters } from './proxy-parameters.js';
import type { CallerOutput } from './response-writer.js';
import { formatParameter, type StartupParameter } from './startup-parameters.js';
import type { TransactionExecutor } from './transaction-executor.js';

/** Parameters that RESET ALL leaves as they are. */
const KEPT_BY_RESET_ALL = new Set(['role', 'session_authorization']);
/** Runs statements that the proxy itself handles: transaction control and parameters. */
export class LocalStatements {
  constructor(
    private readonly state: CallerState,
    private readonly parameters: ProxyParameters,
    private readonly transactions: TransactionExecutor,
    private readonly output: CallerOutput,
  ) {}

  /**
   * Runs a request of one statement.
   *
   * @param request - the request
   * @param statement - class of its statement; others than those that the proxy runs do nothing
   * @throws ProxyError if the statement is refused, or the outcome of a commit if it was not confirmed
   */
  async run(request: CallerRequest, statement: StatementClass): Promise<void> {
    switch (statement.kind) {
      case 'begin':
        if (this.transactions.status === 'idle') {
          this.beginTransaction(statement.text, statement.readOnly);
        }
        this.sendResponse(request, 'BEGIN');
        break;
      case 'commit':
        this.sendResponse(request, await this.commitTransaction());
        break;
      case 'rollback':
        await this.transactions.rollback();
        this.state.isTransactionReadOnly = false;
        this.state.restoreParameters();
        this.sendResponse(request, 'ROLLBACK');
        break;
      case 'set-proxy':
        this.parameters.set(statement.name, statement.value);
        this.sendResponse(request, 'SET');
        break;
      case 'show-proxy':
        this.sendParameter(request, statement.name);
        break;
      case 'set-session':
        await this.setSessionParameter(request, statement.name, statement.text);
        break;
      case 'reset-session':
        await this.resetSession(request, statement.scope);
        break;
      case 'discard':
        this.sendResponse(request, statement.tag);
        break;
      default:
    }
  }

  private beginTransaction(text: string, isReadOnly: boolean): void {
    this.state.isTransactionReadOnly = isReadOnly;
    this.transactions.begin(text);
  }

  private async commitTransaction(): Promise<string> {
    let tag = 'ROLLBACK';
    try {
      tag = await this.transactions.commit();
    } finally {
      this.state.isTransactionReadOnly = false;
      if (tag !== 'COMMIT') this.state.restoreParameters();
    }
    return tag;
  }

  /** Keeps a parameter, and sets it at the member if a transaction runs there. */
  private async setSessionParameter(
    request: CallerRequest,
    name: string,
    text: string,
  ): Promise<void> {
    if (this.transactions.status === 'idle') this.sendResponse(request, 'SET');
    else await this.transactions.runInTransaction({ ...request, changesParameters: true });
    this.state.setParameter(name, text);
  }

  private async resetSession(request: CallerRequest, scope: 'parameters' | 'all'): Promise<void> {
    const isAll = scope === 'all';
    if (this.transactions.status === 'idle') {
      this.sendResponse(request, isAll ? 'DISCARD ALL' : 'RESET');
    } else {
      await this.transactions.runInTransaction({ ...request, changesParameters: true });
    }
    this.state.resetParameters(isAll ? new Set() : KEPT_BY_RESET_ALL);
    if (isAll) this.state.statements.clear();
  }

  private sendResponse(request: CallerRequest, tag: string): void {
    this.output.write(createLocalResponse(request, tag));
  }

  private sendParameter(request: CallerRequest, name: string): void {
    const row = { column: `${PROXY_PARAMETER_PREFIX}${name}`, value: this.parameters.get(name) };
    this.output.write(createLocalResponse(request, 'SHOW', row));
  }

  /**
   * Applies a parameter of the startup packet.
   *
   * @param parameter - one of the proxy's own parameters, or a session parameter
   * @throws ProxyError if the parameter does not exist or the value is invalid
   */
  applyStartupParameter(parameter: StartupParameter): void {
    const { name, value } = parameter;
    if (name.startsWith(PROXY_PARAMETER_PREFIX)) {
      this.parameters.set(name.slice(PROXY_PARAMETER_PREFIX.length), value);
    } else this.state.setParameter(name, formatParameter(parameter));
  }
}
