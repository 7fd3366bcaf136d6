package org.bramleyscale.internal.gateway.log;

/**
 * A structured log of each decision that affects a request or changes what a daemon
 * assumes about the system.
 *
 * <p>
 * Fields are alternating names and values. Implementations never block and are safe for
 * use by multiple threads. <pre>
 * log.request(id, "refused", "status", 503, "reason", "no endpoint", "catalog", 7);
 * </pre>
 */
public interface DecisionLog {

	/** Discards all lines; for tests and tools. */
	DecisionLog NONE = (kind, subject, fields) -> {
	};

	/**
	 * Writes a line.
	 * @param kind what the line is about: {@code request}, {@code belief} or {@code
	 * daemon}
	 * @param subject alternating names and values that identify the subject
	 * @param fields alternating names and values
	 */
	void write(String kind, Object[] subject, Object[] fields);

	/**
	 * Logs a decision about a request.
	 * @param id the request's id
	 * @param decision the decision
	 * @param fields its inputs, their age or version, and the outcome
	 */
	default void request(Object id, String decision, Object... fields) {
		write("request", new Object[] { "id", id, "decision", decision }, fields);
	}

	/**
	 * Logs a change in what this daemon assumes about a part of the system.
	 * @param subject the kind of part, for instance {@code endpoint}
	 * @param name its name
	 * @param fields the new assumption and its reasons
	 */
	default void belief(String subject, Object name, Object... fields) {
		write("belief", new Object[] { subject, name }, fields);
	}

	/**
	 * Logs an event in the daemon's lifecycle.
	 * @param event for instance {@code start}
	 * @param fields details
	 */
	default void daemon(String event, Object... fields) {
		write("daemon", new Object[] { "event", event }, fields);
	}

}
