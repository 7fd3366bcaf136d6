package org.bramleyscale.internal.gateway.http;

import java.util.Locale;
import java.util.Optional;
import java.util.regex.Pattern;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;

/**
 * Checks that the head of a request can be read in one way only.
 *
 * <p>
 * A lenient decoder takes more than RFC 7230 allows, and a reader that understands it
 * differently ends the request elsewhere: its caller could make an endpoint run what
 * nobody has sent as a request. Confined to one thread.
 */
final class RequestHeadCheck {

	private static final String LINE_END = "\r\n";

	private static final String NO_CARRIAGE_RETURN = "a line that ends without a carriage return";

	private static final String TOKEN = "[!#$%&'*+\\-.^_`|~0-9A-Za-z]+";

	private static final Pattern REQUEST_LINE = Pattern.compile(TOKEN + " [!-~]+ HTTP/1\\.[01]");

	/** A field's name and value; a line that continues another one has no name. */
	private static final Pattern FIELD = Pattern.compile(TOKEN + ":[\t\\x20-\\x7e\\x80-\\xff]*+");

	/** As many digits as fit into a long. */
	private static final Pattern LENGTH = Pattern.compile("[0-9]{1,18}");

	private boolean http10;

	private int lengths;

	private int encodings;

	private int hosts;

	private String fault;

	private RequestHeadCheck() {
	}

	/**
	 * Returns what is wrong with a head.
	 * @param head the head, including the empty line that ends it
	 * @return the fault; empty if the head can be read in one way only
	 */
	static Optional<String> faultOf(String head) {
		RequestHeadCheck check = new RequestHeadCheck();
		check.checkLines(head);
		check.require(check.lengths + check.encodings <= 1, "more than one field that frames the body");
		check.require(check.encodings == 0 || !check.http10, "chunks in HTTP/1.0");
		check.require(check.hosts <= 1, "more than one host");
		return Optional.ofNullable(check.fault);
	}

	/**
	 * Whether a line is a field with a name and a value.
	 * @param line the line without its end
	 * @return false if it must not be in a head or a trailer
	 */
	static boolean isField(String line) {
		return FIELD.matcher(line).matches();
	}

	private void checkLines(String head) {
		int end = head.indexOf(LINE_END);
		require(end >= 0, NO_CARRIAGE_RETURN);
		if (end < 0) {
			return;
		}
		String first = head.substring(0, end);
		require(REQUEST_LINE.matcher(first).matches(), "a request line that isn't exact");
		require(!first.startsWith(HttpMethod.CONNECT.name() + " "), "a request for a tunnel");
		this.http10 = first.endsWith("0");
		int start = end + LINE_END.length();
		while (this.fault == null && start < head.length() - LINE_END.length()) {
			end = head.indexOf(LINE_END, start);
			require(end >= 0, NO_CARRIAGE_RETURN);
			if (end >= 0) {
				checkField(head.substring(start, end));
				start = end + LINE_END.length();
			}
		}
		require(head.startsWith(LINE_END, start), "no empty line at its end");
	}

	private void checkField(String line) {
		if (!isField(line)) {
			require(false, "a line that isn't a field");
			return;
		}
		int colon = line.indexOf(':');
		String name = line.substring(0, colon).toLowerCase(Locale.ROOT);
		String value = line.substring(colon + 1).strip();
		if (HttpHeaderNames.CONTENT_LENGTH.contentEquals(name)) {
			this.lengths++;
			require(LENGTH.matcher(value).matches(), "a length that is no number");
		}
		else if (HttpHeaderNames.TRANSFER_ENCODING.contentEquals(name)) {
			this.encodings++;
			require(HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(value), "an encoding other than chunks");
		}
		else if (HttpHeaderNames.HOST.contentEquals(name)) {
			this.hosts++;
		}
	}

	private void require(boolean condition, String otherwise) {
		if (!condition && this.fault == null) {
			this.fault = otherwise;
		}
	}

}
