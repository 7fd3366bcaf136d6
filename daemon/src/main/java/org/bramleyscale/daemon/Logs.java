package org.bramleyscale.daemon;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.LoggerContext;
import org.bramleyscale.LogLevel;
import org.slf4j.LoggerFactory;

/**
 * Sets how much is logged.
 */
public final class Logs {

	private static final String ROOT = "org.bramleyscale";

	private Logs() {
	}

	/**
	 * Sets the level of this product's loggers; libraries stay at warnings.
	 * @param level the level
	 */
	public static void level(LogLevel level) {
		if (LoggerFactory.getILoggerFactory() instanceof LoggerContext context) {
			context.getLogger(ROOT).setLevel(Level.valueOf(level.name()));
		}
	}

}
