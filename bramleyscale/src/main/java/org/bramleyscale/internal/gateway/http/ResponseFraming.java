package org.bramleyscale.internal.gateway.http;

import java.util.Set;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;

/**
 * Tells responses that show their own end from those that end with their connection.
 */
final class ResponseFraming {

	/** Statuses whose responses end with their head. */
	private static final Set<HttpResponseStatus> BODILESS_STATUSES = Set.of(HttpResponseStatus.NO_CONTENT,
			HttpResponseStatus.NOT_MODIFIED);

	private ResponseFraming() {
	}

	/**
	 * Whether a response has no other transfer coding than chunks.
	 * @param head the head
	 * @return false if its body can't be relayed as it is
	 */
	static boolean isSupported(HttpResponse head) {
		return head.headers()
			.getAll(HttpHeaderNames.TRANSFER_ENCODING)
			.stream()
			.allMatch(HttpHeaderValues.CHUNKED::contentEqualsIgnoreCase);
	}

	/**
	 * Whether a response shows its own end.
	 * @param head the head
	 * @param headOnly whether the request asked for the head only
	 * @return false if the response ends with its connection
	 */
	static boolean isDelimited(HttpResponse head, boolean headOnly) {
		return HttpUtil.isContentLengthSet(head) || HttpUtil.isTransferEncodingChunked(head) || headOnly
				|| BODILESS_STATUSES.contains(head.status());
	}

}
