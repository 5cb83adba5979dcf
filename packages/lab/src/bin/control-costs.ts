#!/usr/bin/env node
/** Measures the costs of the control decisions and prints them as one JSON line. */
import { measureControlCosts } from '../capacity/control-costs.js';

process.stdout.write(`${JSON.stringify(measureControlCosts())}\n`);
