/**
 * Which entries a client account should call.
 */
package org.bramleyscale.internal.address;
