package org.bramleyscale.internal.http;

import java.net.URI;
import java.net.URISyntaxException;
import java.util.Set;

import org.bramleyscale.internal.endpoint.ServiceCall;
import org.bramleyscale.internal.endpoint.ServiceReply;
import ratpack.exec.Promise;
import ratpack.http.client.RequestSpec;
import ratpack.http.client.StreamedResponse;

/**
 * The HTTP form of calls to plain services.
 *
 * <p>
 * Stateless and safe for use by multiple threads.
 */
final class ServiceCallHttp {

	private static final Set<String> SAFE_METHODS = Set.of("GET", "HEAD");

	private ServiceCallHttp() {
	}

	/**
	 * Whether calls with a method change nothing.
	 * @param method the HTTP method
	 * @return true for GET and HEAD
	 */
	static boolean safe(String method) {
		return SAFE_METHODS.contains(method);
	}

	static boolean wellFormed(String path) {
		try {
			return new URI(path).getRawPath() != null;
		}
		catch (URISyntaxException ex) {
			return false;
		}
	}

	static void write(ServiceCall call, RequestSpec spec) {
		spec.method(call.method());
		call.headers().forEach(spec.getHeaders()::set);
		spec.getHeaders().set(CallOptions.REQUEST_ID, call.id().toString());
		spec.getHeaders().set(CallOptions.TIMEOUT, call.timeLeft().toMillis());
		if (call.body().length > 0) {
			spec.getBody().bytes(call.body());
		}
	}

	/**
	 * Reads a reply.
	 * @param response the head and the pieces
	 * @return the whole reply, or a failure if it was broken off or is too large
	 */
	static Promise<ServiceReply> reply(StreamedResponse response) {
		return WholeReply.withAnyEnd(response)
			.map((reply) -> new ServiceReply(reply.status(), PassedHeaders.of(reply.headers()), reply.body()));
	}

}
