package org.bramleyscale.internal.gateway.log;

import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogManager;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import java.util.logging.SimpleFormatter;

/**
 * A logging handler that writes the records of the product's and the libraries' loggers
 * to the decision log, so that a process has one output stream.
 *
 * <p>
 * Safe for use by multiple threads.
 */
public final class DecisionLogHandler extends Handler {

	private final DecisionLog log;

	private final SimpleFormatter formatter = new SimpleFormatter();

	private DecisionLogHandler(DecisionLog log) {
		this.log = log;
	}

	/**
	 * Replaces all handlers of the root logger.
	 * @param log receives the lines
	 */
	public static void install(DecisionLog log) {
		LogManager.getLogManager().reset();
		Logger root = Logger.getLogger("");
		root.setLevel(Level.INFO);
		root.addHandler(new DecisionLogHandler(log));
	}

	@Override
	public void publish(LogRecord entry) {
		if (entry.getLevel().intValue() >= Level.INFO.intValue()) {
			Throwable thrown = entry.getThrown();
			this.log.write("log", new Object[] { "level", entry.getLevel(), "logger", entry.getLoggerName() },
					new Object[] { "message", this.formatter.formatMessage(entry), "thrown", describe(thrown) });
		}
	}

	@Override
	public void flush() {
		// The decision log flushes by itself.
	}

	@Override
	public void close() {
		// The log outlives its handlers.
	}

	private static String describe(Throwable thrown) {
		if (thrown == null) {
			return null;
		}
		StringBuilder text = new StringBuilder(thrown.toString());
		for (int i = 0; i < Math.min(8, thrown.getStackTrace().length); i++) {
			text.append(" < ").append(thrown.getStackTrace()[i]);
		}
		return text.toString();
	}

}
