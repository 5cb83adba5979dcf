#!/usr/bin/env node
/** Writes the generated reference pages; run at the repository's root. */
import { writeFileSync } from 'node:fs';
import { createReferencePages } from '../reference/reference-pages.js';

for (const { file, text } of await createReferencePages()) writeFileSync(file, text);
