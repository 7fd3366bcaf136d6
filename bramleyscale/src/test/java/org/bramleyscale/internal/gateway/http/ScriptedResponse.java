package org.bramleyscale.internal.gateway.http;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;

/**
 * A response that an endpoint sends to one request.
 *
 * @param id the id of the request
 * @param status the status line's code and reason
 * @param framing how it shows its length
 * @param body the body as its caller must receive it
 * @param bytes all bytes
 * @param headLength the number of bytes of its head
 */
record ScriptedResponse(String id, String status, Framing framing, String body, String bytes, int headLength) {

	private static final List<String> STATUSES = List.of("200 OK", "200 OK", "201 Created", "500 Internal Server Error",
			"404 Not Found", "503 Service Unavailable", "204 No Content");

	/**
	 * Draws a response.
	 * @param random the source of randomness
	 * @param id the id of the request
	 * @param headOnly whether the request asks for the head only
	 * @return the response
	 */
	static ScriptedResponse draw(Random random, String id, boolean headOnly) {
		String status = STATUSES.get(random.nextInt(STATUSES.size()));
		Framing framing = Framing.values()[random.nextInt(Framing.values().length)];
		boolean bodiless = headOnly || status.startsWith("204");
		String body = bodiless ? "" : ("body of " + id + "\n").repeat(random.nextInt(random.nextBoolean() ? 6 : 60));
		List<String> fields = new ArrayList<>(
				List.of("Id: " + id, "Signature: s-" + id, "Load: 1,0,4", "Content-Type: text/plain"));
		if (status.startsWith("503")) {
			fields.add("Not-Run: 1");
		}
		if (framing == Framing.CHUNKS) {
			fields.add("Transfer-Encoding: chunked");
		}
		else if (framing == Framing.LENGTH || bodiless) {
			fields.add("Content-Length: " + body.length());
		}
		Collections.shuffle(fields, random);
		String head = "HTTP/1.1 " + status + "\r\n" + String.join("\r\n", fields) + "\r\n\r\n";
		return new ScriptedResponse(id, status, (bodiless && framing == Framing.CONNECTION) ? Framing.LENGTH : framing,
				body, head + (bodiless ? "" : framing.encode(body, random)), head.length());
	}

	/**
	 * Draws the beginning of this response, without its end.
	 * @param random the source of randomness
	 * @return the head and a part of the body; whole if it has no body
	 */
	String cutInItsBody(Random random) {
		int rest = this.bytes.length() - this.headLength;
		return (rest == 0) ? this.bytes : this.bytes.substring(0, this.headLength + random.nextInt(rest));
	}

	int code() {
		return Integer.parseInt(this.status.split(" ")[0]);
	}

	/**
	 * Whether the end of this response shows whatever was asked for.
	 * @return false if it ends with its connection, or only because its request asked for
	 * the head
	 */
	boolean showsItsEnd() {
		boolean hasLastChunk = this.bytes.endsWith("\r\n0\r\n\r\n");
		return this.framing == Framing.LENGTH || this.status.startsWith("204")
				|| (this.framing == Framing.CHUNKS && hasLastChunk);
	}

	/**
	 * Returns the bytes of this response without those that name its request.
	 * @return the bytes
	 */
	String unnamed() {
		return this.bytes.replace("Id: " + this.id + "\r\n", "");
	}

	/**
	 * How a response shows its length.
	 */
	enum Framing {

		LENGTH, CHUNKS, CONNECTION;

		private String encode(String body, Random random) {
			if (this != CHUNKS) {
				return body;
			}
			StringBuilder chunks = new StringBuilder();
			String rest = body;
			while (!rest.isEmpty()) {
				int length = 1 + random.nextInt(rest.length());
				chunks.append(Integer.toHexString(length)).append("\r\n").append(rest, 0, length).append("\r\n");
				rest = rest.substring(length);
			}
			return chunks + "0\r\n\r\n";
		}

	}

}
