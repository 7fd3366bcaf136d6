package org.bramleyscale.standins.response;

import java.io.IOException;
import java.io.InputStream;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Reads requests with a length. Stateless and safe for use by multiple threads.
 */
final class Requests {

	private static final Pattern LENGTH = Pattern.compile("(?i)\r\ncontent-length: *(\\d+)");

	private Requests() {
	}

	/**
	 * Reads the next request with its body.
	 * @param input the connection's bytes
	 * @return false if the connection has ended
	 * @throws IOException if it is reset
	 */
	static boolean read(InputStream input) throws IOException {
		StringBuilder head = new StringBuilder();
		while (head.indexOf("\r\n\r\n") < 0) {
			int next = input.read();
			if (next < 0) {
				return false;
			}
			head.append((char) next);
		}
		Matcher length = LENGTH.matcher(head);
		if (length.find()) {
			input.readNBytes(Integer.parseInt(length.group(1)));
		}
		return true;
	}

}
