package org.bramleyscale.internal.gateway.http;

import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ByteProcessor;

/**
 * A response to another request, whose bytes nobody needs.
 *
 * <p>
 * If it was broken off, the response that follows it is taken for its body or for its
 * trailer. Confined to the loop's thread.
 */
final class SkippedResponse implements ByteProcessor {

	private final StatusLineFinder statusLine = new StatusLineFinder();

	/**
	 * Whether a part of this response shows that it holds the beginning of another one.
	 * @param content the next part
	 * @return true if this response was broken off
	 */
	boolean swallows(HttpContent content) {
		boolean trailer = content instanceof LastHttpContent last && !last.trailingHeaders().isEmpty();
		return trailer || content.content().forEachByte(this) >= 0;
	}

	@Override
	public boolean process(byte value) {
		return !this.statusLine.next(value);
	}

}
