import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;

/** One HTTP/1.1 message, read from a socket. */
final class Message {

	final String firstLine;

	final Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);

	byte[] body = new byte[0];

	private Message(String firstLine) {
		this.firstLine = firstLine;
	}

	/** Reads a head; returns null if the connection ends before it. */
	static Message readHead(InputStream in) throws IOException {
		String first = readLine(in);
		if (first == null) {
			return null;
		}
		Message message = new Message(first);
		for (String line = readLine(in); line == null || !line.isEmpty(); line = readLine(in)) {
			if (line == null) {
				throw new EOFException("the connection ended inside a head");
			}
			int colon = line.indexOf(':');
			message.headers.put(line.substring(0, colon).trim(), line.substring(colon + 1).trim());
		}
		return message;
	}

	/** Reads a request with its body; returns null if there is none. */
	static Message readRequest(InputStream in) throws IOException {
		Message message = readHead(in);
		if (message != null) {
			message.readBody(in, false);
		}
		return message;
	}

	/** Reads a whole response; throws an EOFException if it isn't whole. */
	static Message readResponse(InputStream in) throws IOException {
		Message message = readHead(in);
		if (message == null) {
			throw new EOFException("the connection was closed without an answer");
		}
		message.readBody(in, true);
		return message;
	}

	private void readBody(InputStream in, boolean response) throws IOException {
		ByteArrayOutputStream bytes = new ByteArrayOutputStream();
		if ("chunked".equalsIgnoreCase(this.headers.get("Transfer-Encoding"))) {
			int size;
			do {
				String line = readLine(in);
				if (line == null) {
					throw new EOFException("the connection ended between two chunks");
				}
				size = Integer.parseInt(line.split(";")[0].trim(), 16);
				bytes.write(readExactly(in, size));
				readLine(in);
			}
			while (size > 0);
		}
		else if (this.headers.containsKey("Content-Length")) {
			bytes.write(readExactly(in, Integer.parseInt(this.headers.get("Content-Length"))));
		}
		else if (response) {
			bytes.write(in.readAllBytes());
		}
		this.body = bytes.toByteArray();
	}

	private static byte[] readExactly(InputStream in, int size) throws IOException {
		byte[] bytes = in.readNBytes(size);
		if (bytes.length < size) {
			throw new EOFException("the connection ended inside a body");
		}
		return bytes;
	}

	private static String readLine(InputStream in) throws IOException {
		ByteArrayOutputStream line = new ByteArrayOutputStream();
		for (int value = in.read(); value >= 0; value = in.read()) {
			if (value == '\n') {
				String text = line.toString(StandardCharsets.ISO_8859_1);
				return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
			}
			line.write(value);
		}
		if (line.size() > 0) {
			throw new EOFException("the connection ended inside a line");
		}
		return null;
	}

	static void writeResponse(OutputStream out, int status, String headers, byte[] body) throws IOException {
		String head = "HTTP/1.1 " + status + " Status\r\n" + headers + "Content-Length: " + body.length + "\r\n\r\n";
		out.write(head.getBytes(StandardCharsets.ISO_8859_1));
		out.write(body);
		out.flush();
	}

	int status() {
		return Integer.parseInt(this.firstLine.split(" ")[1]);
	}

	String method() {
		return this.firstLine.split(" ")[0];
	}

	String target() {
		return this.firstLine.split(" ")[1];
	}

	String header(String name) {
		return this.headers.getOrDefault(name, "");
	}

	String text() {
		return new String(this.body, StandardCharsets.UTF_8);
	}

}
