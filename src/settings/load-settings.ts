/** Reads a settings file, applies command-line overrides and validates the result. */
import { readFileSync } from 'node:fs';
import { Ok, type Result } from 'ts-results';
import { parse } from 'yaml';
import type { z } from 'zod';
import { createFailure, getErrorMessage, type HallholdError } from '../errors/hallhold-error';
import { ResultCodes } from '../errors/result-codes';

/** Values of command-line flags; undefined ones do not override. */
export type SettingsOverrides = Readonly<Record<string, unknown>>;

/**
 * Loads and validates settings.
 * Error 1001 when the file cannot be read or is not YAML, 1002 when a key is invalid,
 * with one detail line for each invalid key: file, path and allowed values.
 */
export function loadSettings<T>(
  file: string,
  schema: z.ZodType<T>,
  overrides: SettingsOverrides = {},
): Result<T, HallholdError> {
  const content = readYaml(file);
  if (content.err) {
    return content;
  }
  const overriding = Object.entries(overrides).filter(([, value]) => value !== undefined);
  const merged =
    typeof content.val === 'object' && content.val !== null
      ? { ...content.val, ...Object.fromEntries(overriding) }
      : content.val;
  return checkSettings(file, schema, merged);
}

/** Validates values against a schema; errors name `source` as their origin. */
export function checkSettings<T>(
  source: string,
  schema: z.ZodType<T>,
  values: unknown,
): Result<T, HallholdError> {
  const checked = schema.safeParse(values);
  if (checked.success) {
    return new Ok(checked.data);
  }
  const details = checked.error.issues.map((issue) => describeIssue(source, issue));
  return createFailure(
    ResultCodes.settingsInvalid,
    `${source} has ${details.length} invalid keys`,
    details,
  );
}

function readYaml(file: string): Result<unknown, HallholdError> {
  try {
    return new Ok(parse(readFileSync(file, 'utf8')) as unknown);
  } catch (error) {
    return createFailure(ResultCodes.settingsUnreadable, `${file}: ${getErrorMessage(error)}`);
  }
}

function describeIssue(source: string, issue: z.core.$ZodIssue): string {
  const path = issue.path.length > 0 ? issue.path.join('.') : '(the whole file)';
  const allowed = 'values' in issue ? ` (allowed: ${issue.values.map(String).join(', ')})` : '';
  return `${source}: ${path}: ${issue.message}${allowed}`;
}
