/**
 * The command line: {@link org.bramleyscale.daemon.Main} and the interface of its
 * subcommands.
 */
package org.bramleyscale.daemon;
