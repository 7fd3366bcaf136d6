package org.bramleyscale.internal.http;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Locale;

import com.fasterxml.jackson.core.io.JsonStringEncoder;
import org.bramleyscale.ServingException;
import ratpack.handling.Context;
import ratpack.http.Request;
import ratpack.http.Response;

/**
 * The JSON form of an answer that is not a success.
 *
 * <p>
 * Every such answer has the same form, whether it is a whole answer or the last event of
 * a stream. Stateless and safe for use by multiple threads.
 */
public final class ErrorBody {

	/** The media type of answers. */
	public static final String JSON = "application/json";

	private static final long MILLIS_PER_SECOND = 1000;

	private ErrorBody() {
	}

	/**
	 * Answers with a failure.
	 * @param context the exchange
	 * @param failure the failure
	 */
	public static void send(Context context, ServingException failure) {
		Response response = context.getResponse();
		response.status(failure.code().httpStatus());
		failure.retryAfter()
			.ifPresent((delay) -> response.getHeaders().set("Retry-After", Long.toString(roundUp(delay))));
		if (bodyMayBeUnread(context.getRequest())) {
			// The server closes a connection on which it won't read the rest of a large
			// body. A caller that isn't told so sends its next call on it, which then
			// ends
			// without an answer.
			response.forceCloseConnection();
		}
		response.send(JSON, json(failure).getBytes(StandardCharsets.UTF_8));
	}

	/**
	 * Writes a failure as JSON.
	 * @param failure the failure
	 * @return the JSON on one line
	 */
	public static String json(ServingException failure) {
		StringBuilder json = new StringBuilder("{\"error\":{\"code\":\"").append(failure.code().name()).append('"');
		text(json, "message", failure.getMessage());
		text(json, "ran", failure.ran().name().toLowerCase(Locale.ROOT));
		text(json, "step", failure.step().name().toLowerCase(Locale.ROOT));
		text(json, "peer", failure.peer());
		json.append(",\"retryAfterMillis\":");
		json.append(failure.retryAfter().map((delay) -> Long.toString(delay.toMillis())).orElse("null"));
		return json.append("}}").toString();
	}

	private static void text(StringBuilder json, String name, String value) {
		json.append(",\"").append(name).append("\":");
		if (value == null) {
			json.append("null");
			return;
		}
		json.append('"');
		JsonStringEncoder.getInstance().quoteAsString(value, json);
		json.append('"');
	}

	private static boolean bodyMayBeUnread(Request request) {
		return request.isChunkedTransfer() || request.getContentLength() > request.getMaxContentLength();
	}

	private static long roundUp(Duration delay) {
		return (delay.toMillis() + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND;
	}

}
