package org.bramleyscale.internal.http;

import java.io.ByteArrayOutputStream;
import java.io.IOException;

import com.google.common.net.HttpHeaders;
import io.netty.buffer.ByteBuf;
import ratpack.exec.Promise;
import ratpack.http.Headers;
import ratpack.http.client.StreamedResponse;

/**
 * A reply that has arrived from its first byte to its last.
 *
 * <p>
 * It is read piece by piece: a reply that is aggregated before it is read seems to be
 * whole also if its connection was closed in its head or between two chunks. Safe for use
 * by multiple threads as long as nobody changes the body.
 *
 * @param status the HTTP status
 * @param headers the headers
 * @param body the body
 */
public record WholeReply(int status, Headers headers, byte[] body) {

	private static final int LARGEST_BYTES = 32 << 20;

	private static final int FIRST_STATUS = 100;

	private static final int LAST_STATUS = 599;

	private static final int NO_CONTENT = 204;

	/**
	 * Reads a reply whose sender always shows where it ends.
	 * @param response the head and the pieces
	 * @return the reply, or an {@link IOException} if it has neither a length nor chunks,
	 * was broken off or is too large
	 */
	public static Promise<WholeReply> of(StreamedResponse response) {
		if (!showsItsEnd(response)) {
			return Promise.error(new IOException(
					"a reply with status " + response.getStatusCode() + " has neither a length nor chunks"));
		}
		return withAnyEnd(response);
	}

	/**
	 * Reads a reply that may also end with its connection.
	 * @param response the head and the pieces
	 * @return the reply, or an {@link IOException} if it was broken off or is too large
	 */
	static Promise<WholeReply> withAnyEnd(StreamedResponse response) {
		if (response.getStatusCode() < FIRST_STATUS || response.getStatusCode() > LAST_STATUS) {
			return Promise.error(new IOException("a reply with status " + response.getStatusCode()));
		}
		return response.getBody()
			.reduce(new ByteArrayOutputStream(), WholeReply::append)
			.map((body) -> new WholeReply(response.getStatusCode(), response.getHeaders(), body.toByteArray()));
	}

	private static boolean showsItsEnd(StreamedResponse response) {
		Headers headers = response.getHeaders();
		return response.getStatusCode() == NO_CONTENT || headers.contains(HttpHeaders.CONTENT_LENGTH)
				|| headers.contains(HttpHeaders.TRANSFER_ENCODING);
	}

	private static ByteArrayOutputStream append(ByteArrayOutputStream body, ByteBuf piece) throws IOException {
		try {
			if (body.size() + piece.readableBytes() > LARGEST_BYTES) {
				throw new IOException("reply larger than " + LARGEST_BYTES + " bytes");
			}
			piece.readBytes(body, piece.readableBytes());
			return body;
		}
		finally {
			piece.release();
		}
	}

}
