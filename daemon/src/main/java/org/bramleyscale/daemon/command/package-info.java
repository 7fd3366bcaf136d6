/**
 * The subcommands, one class each.
 */
package org.bramleyscale.daemon.command;
