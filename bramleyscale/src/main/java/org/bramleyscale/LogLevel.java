package org.bramleyscale;

/**
 * How much a daemon logs.
 */
public enum LogLevel {

	/** Failures of the daemon itself. */
	ERROR,

	/** Also what an operator may have to act on. */
	WARN,

	/** Also what happens seldom. */
	INFO,

	/** Also each decision. */
	DEBUG

}
