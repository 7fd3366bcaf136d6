package org.bramleyscale.internal.http;

import java.net.URI;
import java.net.URISyntaxException;
import java.util.Set;

import org.bramleyscale.internal.endpoint.ServiceCall;
import org.bramleyscale.internal.endpoint.ServiceReply;
import ratpack.http.client.ReceivedResponse;
import ratpack.http.client.RequestSpec;

/**
 * The HTTP form of calls to plain services.
 *
 * <p>
 * Stateless and safe for use by multiple threads.
 */
final class ServiceCallHttp {

	private static final int LARGEST_REPLY = 32 << 20;

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
		spec.method(call.method()).maxContentLength(LARGEST_REPLY);
		call.headers().forEach(spec.getHeaders()::set);
		spec.getHeaders().set(CallOptions.REQUEST_ID, call.id().toString());
		spec.getHeaders().set(CallOptions.TIMEOUT, call.timeLeft().toMillis());
		if (call.body().length > 0) {
			spec.getBody().bytes(call.body());
		}
	}

	static ServiceReply reply(ReceivedResponse response) {
		return new ServiceReply(response.getStatusCode(), PassedHeaders.of(response.getHeaders()),
				response.getBody().getBytes());
	}

}
