package org.bramleyscale.internal.gateway.log;

/**
 * Takes one line for each decision that touches a request or changes what a daemon
 * believes.
 *
 * <p>
 * Fields are given as names and values by turns. Implementations never block and are safe
 * for use by multiple threads. <pre>
 * log.request(id, "refused", "status", 503, "reason", "no endpoint", "catalog", 7);
 * </pre>
 */
public interface DecisionLog {

	/** Takes nothing; for tests and tools. */
	DecisionLog NONE = (kind, subject, fields) -> {
	};

	/**
	 * Writes a line.
	 * @param kind what the line is about: {@code request}, {@code belief} or
	 * {@code daemon}
	 * @param subject names and values that say which one
	 * @param fields names and values by turns
	 */
	void line(String kind, Object[] subject, Object[] fields);

	/**
	 * Writes what was decided about a request.
	 * @param id the request's id
	 * @param decision what was decided
	 * @param fields the inputs, their age or version, and the outcome
	 */
	default void request(Object id, String decision, Object... fields) {
		line("request", new Object[] { "id", id, "decision", decision }, fields);
	}

	/**
	 * Writes what this daemon now believes of something.
	 * @param subject the kind of thing, for instance {@code endpoint}
	 * @param name which one
	 * @param fields what is believed and why
	 */
	default void belief(String subject, Object name, Object... fields) {
		line("belief", new Object[] { subject, name }, fields);
	}

	/**
	 * Writes a step in the daemon's own life.
	 * @param event for instance {@code start}
	 * @param fields details
	 */
	default void daemon(String event, Object... fields) {
		line("daemon", new Object[] { "event", event }, fields);
	}

}
