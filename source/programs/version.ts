/**
 * The version of this release.
 *
 * @module
 */

/** A semantic version; must equal the version in package.json. */
export const version = "0.1.0";
