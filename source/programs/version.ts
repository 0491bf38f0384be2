/**
 * The version of this release.
 *
 * @module
 */

/** Follows semantic versioning; the same as in package.json. */
export const version = "0.1.0";
