/**
 * Memory set aside on engines for prompts that are larger than one engine's memory.
 */
package org.bramleyscale.internal.gateway.hold;
