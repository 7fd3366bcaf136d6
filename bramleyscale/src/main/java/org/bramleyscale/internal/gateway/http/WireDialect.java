package org.bramleyscale.internal.gateway.http;

import java.util.List;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import org.bramleyscale.internal.gateway.backend.Backend;
import org.bramleyscale.internal.gateway.request.BackendHead;
import org.bramleyscale.internal.gateway.request.CallerRequest;
import org.bramleyscale.internal.gateway.request.OutgoingRequest;

/**
 * Translates between the HTTP headers of callers and endpoints and the typed fields that
 * the product needs.
 *
 * <p>
 * Implementations make no decisions and are safe for use by multiple threads.
 */
public interface WireDialect {

	/**
	 * Reads a caller's request.
	 * @param head the head
	 * @param body the complete body
	 * @return the request
	 * @throws BadRequestException if a field that the product needs can't be read
	 */
	CallerRequest readRequest(HttpRequest head, byte[] body) throws BadRequestException;

	/**
	 * Writes the headers of a request to an endpoint, except for those that frame the
	 * body.
	 * @param to the endpoint
	 * @param request the request
	 * @param headers receives the headers
	 */
	void writeRequestHeaders(Backend to, OutgoingRequest request, HttpHeaders headers);

	/**
	 * Returns the ids of the requests that an endpoint's response names.
	 * @param response the head of the response
	 * @return the ids; a sound response has one
	 */
	List<String> requestIds(HttpResponse response);

	/**
	 * Reads the head of an endpoint's response.
	 * @param response the head
	 * @return the typed head
	 */
	BackendHead readResponseHead(HttpResponse response);

	/**
	 * Thrown if a field of a caller's request can't be read.
	 */
	final class BadRequestException extends Exception {

		private static final long serialVersionUID = 1L;

		/**
		 * Creates the exception.
		 * @param message names the field and the offending value
		 */
		public BadRequestException(String message) {
			super(message);
		}

	}

}
