package org.bramleyscale.internal.gateway.http;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.Set;

import io.netty.buffer.ByteBuf;
import io.netty.util.ByteProcessor;

/**
 * Checks that the bytes of a head are those of one response.
 *
 * <p>
 * If an endpoint breaks a response off and sends another one on the same connection, both
 * can make one head that a lenient decoder accepts: the status of the first with fields
 * and body of the second. A sound head begins with its only status line, and each further
 * line is a field. Confined to one thread.
 */
final class ResponseHeadCheck implements ByteProcessor {

	private static final String TOKEN_SYMBOLS = "!#$%&'*+-.^_`|~";

	private static final Set<String> VERSIONS = Set.of("HTTP/1.0", "HTTP/1.1");

	private static final String NO_STATUS_LINE = "no status line at its beginning";

	private static final int DELETE = 0x7f;

	private final StatusLineFinder statusLine = new StatusLineFinder();

	private int position;

	private boolean inName;

	private int lineLength;

	private boolean carriageReturn;

	private String fault;

	private ResponseHeadCheck() {
	}

	/**
	 * Returns what is wrong with a head.
	 * @param bytes holds the head
	 * @param start the index of its first byte
	 * @param length its length, including the empty line that ends it
	 * @return the fault; empty if the head is that of one response
	 */
	static Optional<String> faultOf(ByteBuf bytes, int start, int length) {
		ResponseHeadCheck check = new ResponseHeadCheck();
		bytes.forEachByte(start, length, check);
		check.require(length > StatusLineFinder.length(), NO_STATUS_LINE);
		if (check.fault == null) {
			check.requireStatusLine(bytes.toString(start, StatusLineFinder.length(), StandardCharsets.US_ASCII));
		}
		return Optional.ofNullable(check.fault);
	}

	/**
	 * Requires that a status line means the same to each recipient: a caller's library
	 * may refuse other versions and statuses, or take them for success.
	 * @param line the version and the status
	 */
	private void requireStatusLine(String line) {
		require(VERSIONS.contains(line.substring(0, line.indexOf(' '))), "a version other than HTTP/1.0 and HTTP/1.1");
		char statusClass = line.charAt(line.indexOf(' ') + 1);
		require(statusClass >= '1' && statusClass <= '5', "a status outside 100 to 599");
	}

	@Override
	public boolean process(byte value) {
		this.position++;
		boolean found = this.statusLine.next(value);
		if (this.position <= StatusLineFinder.length()) {
			require(found == (this.position == StatusLineFinder.length()), NO_STATUS_LINE);
			return this.fault == null;
		}
		require(!found, "a second status line");
		if (value == '\n') {
			require(!this.inName || this.lineLength == 0, "a line that isn't a field");
			this.inName = true;
			this.lineLength = 0;
			this.carriageReturn = false;
			return this.fault == null;
		}
		require(!this.carriageReturn, "a carriage return within a line");
		this.carriageReturn = value == '\r';
		if (!this.carriageReturn) {
			processInLine(value);
		}
		return this.fault == null;
	}

	private void processInLine(byte value) {
		if (this.position == StatusLineFinder.length() + 1) {
			require(value == ' ', "a status of more than three digits");
		}
		if (this.inName && value == ':') {
			require(this.lineLength > 0, "a field without a name");
			this.inName = false;
		}
		else if (this.inName) {
			require(isTokenCharacter(value), "a name that is no token");
		}
		else {
			require(value == '\t' || !isControl(value), "a control character");
		}
		this.lineLength++;
	}

	private void require(boolean condition, String otherwise) {
		if (!condition && this.fault == null) {
			this.fault = otherwise;
		}
	}

	private static boolean isControl(byte value) {
		return (value >= 0 && value < ' ') || value == DELETE;
	}

	private static boolean isTokenCharacter(byte value) {
		return (value >= 'a' && value <= 'z') || (value >= 'A' && value <= 'Z') || (value >= '0' && value <= '9')
				|| TOKEN_SYMBOLS.indexOf(value) >= 0;
	}

}
