package org.bramleyscale.internal.gateway.http;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import org.bramleyscale.internal.gateway.backend.Backend;
import org.bramleyscale.internal.gateway.request.BackendHead;
import org.bramleyscale.internal.gateway.request.CallerRequest;
import org.bramleyscale.internal.gateway.request.OutgoingRequest;

/**
 * What callers and endpoints call the things that the product needs to know.
 *
 * <p>
 * Implementations translate between headers and typed fields, decide nothing, and are
 * safe for use by multiple threads.
 */
public interface WireDialect {

	/**
	 * Reads a caller's request.
	 * @param head the head
	 * @param body the whole body
	 * @return the request
	 * @throws BadRequestException if a field that the product needs can't be read
	 */
	CallerRequest request(HttpRequest head, byte[] body) throws BadRequestException;

	/**
	 * Writes the headers of a request towards an endpoint, all but those that frame the
	 * body.
	 * @param to the endpoint
	 * @param request the request
	 * @param headers takes the headers
	 */
	void write(Backend to, OutgoingRequest request, HttpHeaders headers);

	/**
	 * Whether an endpoint's answer belongs to a request.
	 * @param answer the answer's head
	 * @param request the request
	 * @return false if it is the late answer to another one
	 */
	boolean belongs(HttpResponse answer, CallerRequest request);

	/**
	 * Reads the head of an endpoint's answer.
	 * @param answer the head
	 * @return what it says
	 */
	BackendHead answer(HttpResponse answer);

	/**
	 * A caller's request has a field that can't be read.
	 */
	final class BadRequestException extends Exception {

		private static final long serialVersionUID = 1L;

		/**
		 * Makes the exception.
		 * @param message names the field and the offending value
		 */
		public BadRequestException(String message) {
			super(message);
		}

	}

}
