#!/usr/bin/env node
/** Prints the costs of the control decisions as one JSON line. */
import { measureControlCosts } from '../capacity/control-costs.js';

process.stdout.write(`${JSON.stringify(measureControlCosts())}\n`);
