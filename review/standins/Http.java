package standins;

import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** The head of a message and what is needed to read its body. */
final class Http {

	final String first;

	final Map<String, String> headers = new TreeMap<>();

	private Http(String first) {
		this.first = first;
	}

	/** Reads a head; null at an orderly end of the connection before its first byte. */
	static Http head(InputStream in) throws IOException {
		String line = line(in, true);
		if (line == null) {
			return null;
		}
		Http head = new Http(line);
		for (line = line(in, false); !line.isEmpty(); line = line(in, false)) {
			int colon = line.indexOf(':');
			head.headers.put(line.substring(0, colon).strip().toLowerCase(Locale.ROOT),
					line.substring(colon + 1).strip());
		}
		return head;
	}

	String header(String name) {
		return this.headers.get(name.toLowerCase(Locale.ROOT));
	}

	int status() {
		return Integer.parseInt(this.first.split(" ")[1]);
	}

	boolean chunked() {
		return "chunked".equalsIgnoreCase(header("transfer-encoding"));
	}

	boolean closes() {
		return "close".equalsIgnoreCase(header("connection"));
	}

	/** Reads a body with a length, or none. */
	byte[] body(InputStream in) throws IOException {
		int length = (header("content-length") != null) ? Integer.parseInt(header("content-length")) : 0;
		byte[] body = in.readNBytes(length);
		if (body.length < length) {
			throw new EOFException("body ended early");
		}
		return body;
	}

	/** Reads a chunk; null is the last one. */
	static byte[] chunk(InputStream in) throws IOException {
		int length = Integer.parseInt(line(in, false).strip(), 16);
		byte[] data = in.readNBytes(length);
		if (data.length < length) {
			throw new EOFException("chunk ended early");
		}
		line(in, false);
		return (length > 0) ? data : null;
	}

	private static String line(InputStream in, boolean mayEnd) throws IOException {
		StringBuilder out = new StringBuilder();
		for (int b = in.read(); b != '\n'; b = in.read()) {
			if (b < 0) {
				if (mayEnd && out.length() == 0) {
					return null;
				}
				throw new EOFException("head ended early");
			}
			if (b != '\r') {
				out.append((char) b);
			}
		}
		return out.toString();
	}

	static byte[] bytes(String text) {
		return text.getBytes(StandardCharsets.UTF_8);
	}

}
