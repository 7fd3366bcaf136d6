/**
 * The public API of bramleyscale: a serving layer for prompts of very unlike lengths.
 *
 * <p>
 * The types here are the value types that callers, operators and the daemon's programs
 * share. Everything under {@code internal} may change without notice.
 */
package org.bramleyscale;
