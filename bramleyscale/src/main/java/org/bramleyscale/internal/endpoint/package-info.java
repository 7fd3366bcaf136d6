/**
 * The sharing of endpoints among daemons. An endpoint's owner keeps the exact account of
 * its slots and KV memory and grants shares of them to the entry daemons that use it.
 */
package org.bramleyscale.internal.endpoint;
