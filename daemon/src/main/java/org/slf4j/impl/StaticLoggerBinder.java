package org.slf4j.impl;

/**
 * Tells Ratpack that there is a logger.
 *
 * <p>
 * Ratpack 1.9 looks for a class of this name, which loggers for SLF4J 2 no longer have.
 * Without it Ratpack writes warnings and "Ratpack started" past the logger, the latter to
 * standard output, where programs that read a command's JSON stumble over it. SLF4J 2
 * itself ignores the class. Stateless.
 */
public final class StaticLoggerBinder {

	private StaticLoggerBinder() {
	}

}
