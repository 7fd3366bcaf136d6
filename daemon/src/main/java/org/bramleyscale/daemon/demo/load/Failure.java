package org.bramleyscale.daemon.demo.load;

import java.net.ConnectException;
import java.time.Duration;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.google.common.base.Throwables;

/**
 * Why one attempt of a caller did not complete.
 *
 * <p>
 * Immutable and safe for use by multiple threads.
 *
 * @param kind what the caller knows
 * @param code the system's error code; empty if there was no answer
 * @param retryAfter when to come back
 * @param detail the failure in words
 */
record Failure(Kind kind, String code, Duration retryAfter, String detail) {

	private static final JsonMapper MAPPER = JsonMapper.builder().build();

	/**
	 * Reads an error that the system sent.
	 * @param json the body of the answer or the data of the event
	 * @return the failure
	 */
	static Failure told(String json) {
		try {
			JsonNode error = MAPPER.readTree(json).path("error");
			Kind kind = switch (error.path("ran").asText()) {
				case "no" -> Kind.NOT_RUN;
				case "yes" -> Kind.RAN;
				default -> Kind.UNKNOWN;
			};
			return new Failure(kind, error.path("code").asText(),
					Duration.ofMillis(error.path("retryAfterMillis").asLong()), json);
		}
		catch (JsonProcessingException ex) {
			return new Failure(Kind.UNKNOWN, "", Duration.ZERO, "unreadable error: " + json);
		}
	}

	/**
	 * Describes a connection that failed.
	 * @param cause why
	 * @return the failure
	 */
	static Failure connection(Throwable cause) {
		Throwable root = Throwables.getRootCause(cause);
		Kind kind = (root instanceof ConnectException) ? Kind.NOT_SENT : Kind.NO_ANSWER;
		return new Failure(kind, "", Duration.ZERO, root.toString());
	}

	/**
	 * What the caller knows after an attempt that did not complete.
	 */
	enum Kind {

		/** The connection was refused, so nothing was sent. */
		NOT_SENT,
		/** The request or a part of the answer may be on its way. */
		NO_ANSWER,
		/** The system says that the request did not run. */
		NOT_RUN,
		/** The system says that the request ran and failed. */
		RAN,
		/** The system doesn't know whether the request ran. */
		UNKNOWN

	}

}
