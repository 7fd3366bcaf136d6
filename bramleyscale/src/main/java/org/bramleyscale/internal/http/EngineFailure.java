package org.bramleyscale.internal.http;

import java.io.IOException;
import java.net.ConnectException;
import java.net.NoRouteToHostException;
import java.net.UnknownHostException;
import java.time.Duration;
import java.util.Locale;

import com.fasterxml.jackson.databind.JsonNode;
import org.bramleyscale.EndpointId;
import org.bramleyscale.ErrorCode;
import org.bramleyscale.Ran;
import org.bramleyscale.ServingException;
import org.bramleyscale.Step;

/**
 * Says of a failed call to an endpoint whether it ran.
 *
 * <p>
 * Invariant: {@link Ran#NO} only if no connection was made, so that no byte of the
 * request left, or if the endpoint itself said so. Stateless and safe for use by multiple
 * threads.
 */
final class EngineFailure {

	private EngineFailure() {
	}

	/**
	 * A call that failed without an answer.
	 * @param endpoint the endpoint
	 * @param step what was being done
	 * @param otherwise whether it ran, if a connection had been made
	 * @param cause what happened
	 * @return the failure
	 */
	static ServingException of(EndpointId endpoint, Step step, Ran otherwise, Throwable cause) {
		if (cause instanceof ServingException failure) {
			return failure;
		}
		if (notConnected(cause)) {
			return new ServingException(ErrorCode.ENDPOINT_FAILED, (otherwise != Ran.YES) ? Ran.NO : Ran.YES,
					Step.CONNECT, endpoint.value(), "can't connect: " + cause.getMessage());
		}
		return new ServingException(ErrorCode.ENDPOINT_FAILED, otherwise, step, endpoint.value(), describe(cause));
	}

	/**
	 * A call that the endpoint answered with an error.
	 * @param endpoint the endpoint
	 * @param step what was being done
	 * @param status the HTTP status
	 * @param body the body, in which an engine says whether it ran
	 * @return the failure
	 */
	static ServingException refused(EndpointId endpoint, Step step, int status, byte[] body) {
		try {
			JsonNode json = EngineJson.tree(body);
			if (json.path("code").isTextual()) {
				return refused(endpoint, step, json);
			}
		}
		catch (IOException ex) {
			return unclear(endpoint, step, status);
		}
		return unclear(endpoint, step, status);
	}

	static ServingException refused(EndpointId endpoint, Step step, JsonNode json) {
		JsonNode delay = json.path("retryAfterMillis");
		return new ServingException(named(ErrorCode.class, json.path("code").asText(), ErrorCode.ENDPOINT_FAILED),
				named(Ran.class, json.path("ran").asText(), Ran.UNKNOWN), step, endpoint.value(),
				json.path("message").asText("refused"),
				delay.canConvertToLong() ? Duration.ofMillis(delay.asLong()) : null);
	}

	private static ServingException unclear(EndpointId endpoint, Step step, int status) {
		return new ServingException(ErrorCode.ENDPOINT_FAILED, Ran.UNKNOWN, step, endpoint.value(),
				"answered with HTTP status " + status);
	}

	private static <E extends Enum<E>> E named(Class<E> type, String name, E otherwise) {
		try {
			return Enum.valueOf(type, name.toUpperCase(Locale.ROOT));
		}
		catch (IllegalArgumentException ex) {
			return otherwise;
		}
	}

	private static boolean notConnected(Throwable cause) {
		return cause instanceof ConnectException || cause instanceof UnknownHostException
				|| cause instanceof NoRouteToHostException;
	}

	private static String describe(Throwable cause) {
		String message = cause.getMessage();
		return (message != null) ? message : cause.getClass().getSimpleName();
	}

}
