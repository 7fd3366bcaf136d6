package org.bramleyscale.internal.gateway.http;

import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpStatusClass;

/**
 * Encodes the responses on one connection that this daemon has accepted.
 *
 * <p>
 * Invariant: the final response to a request for a head has no body, whatever is written;
 * interim responses before it change nothing. Confined to the loop's thread.
 */
final class ServerResponseEncoder extends HttpResponseEncoder {

	private boolean headOnly;

	/**
	 * Sets whether the next final response has no body.
	 * @param on true if its request asks for the head only
	 */
	void expectHeadOnly(boolean on) {
		this.headOnly = on;
	}

	@Override
	protected boolean isContentAlwaysEmpty(HttpResponse response) {
		boolean isFinal = response.status().codeClass() != HttpStatusClass.INFORMATIONAL;
		return (isFinal && this.headOnly) || super.isContentAlwaysEmpty(response);
	}

}
