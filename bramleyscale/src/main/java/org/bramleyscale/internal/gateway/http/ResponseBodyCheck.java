package org.bramleyscale.internal.gateway.http;

import java.nio.charset.StandardCharsets;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;

/**
 * Checks that a body is that of one response.
 *
 * <p>
 * If a server breaks a response off and sends another one on the same connection, the
 * body of the first ends with a status line or a part of one. A document may hold the
 * words of a status line too, but is then valid JSON. Safe for use by multiple threads.
 */
final class ResponseBodyCheck {

	private static final ObjectMapper mapper = new ObjectMapper()
		.enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);

	private ResponseBodyCheck() {
	}

	/**
	 * Whether a body may hold the beginning of another response.
	 * @param body the body
	 * @return false if it is that of one response
	 */
	static boolean holdsAnotherResponse(byte[] body) {
		return holdsStatusLine(body) && !isDocument(body);
	}

	private static boolean holdsStatusLine(byte[] body) {
		StatusLineFinder statusLine = new StatusLineFinder();
		for (byte value : body) {
			if (statusLine.next(value)) {
				return true;
			}
		}
		return statusLine.started();
	}

	private static boolean isDocument(byte[] body) {
		try {
			mapper.readTree(new String(body, StandardCharsets.UTF_8));
			return true;
		}
		catch (JsonProcessingException ex) {
			return false;
		}
	}

}
