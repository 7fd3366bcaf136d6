/**
 * Reserves memory on other engines for prompts that exceed the memory of one engine.
 */
package org.bramleyscale.internal.gateway.hold;
