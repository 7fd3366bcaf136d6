package org.bramleyscale.internal.gateway.http;

import java.io.IOException;
import java.nio.charset.StandardCharsets;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.StreamReadConstraints;

/**
 * Checks that a body is that of one response.
 *
 * <p>
 * If a server breaks a response off and sends another one on the same connection, the
 * body of the first ends with a status line or a part of one. A document may hold the
 * words of a status line too, but is then valid JSON. Safe for use by multiple threads.
 */
final class ResponseBodyCheck {

	/** Without bounds: a document with parts that can't be read is one, too. */
	private static final JsonFactory factory = JsonFactory.builder()
		.streamReadConstraints(StreamReadConstraints.builder()
			.maxNestingDepth(Integer.MAX_VALUE)
			.maxNumberLength(Integer.MAX_VALUE)
			.maxNameLength(Integer.MAX_VALUE)
			.maxStringLength(Integer.MAX_VALUE)
			.build())
		.build();

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
		try (JsonParser parser = factory.createParser(new String(body, StandardCharsets.UTF_8))) {
			parser.nextToken();
			parser.skipChildren();
			return parser.nextToken() == null;
		}
		catch (IOException ex) {
			return false;
		}
	}

}
