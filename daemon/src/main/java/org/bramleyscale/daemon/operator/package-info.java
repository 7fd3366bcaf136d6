/**
 * The command line's client of the daemons' HTTP API.
 */
package org.bramleyscale.daemon.operator;
