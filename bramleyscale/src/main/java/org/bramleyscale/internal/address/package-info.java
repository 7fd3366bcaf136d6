/**
 * Selection of the entries that a client account calls, and the planned stop of an entry.
 */
package org.bramleyscale.internal.address;
