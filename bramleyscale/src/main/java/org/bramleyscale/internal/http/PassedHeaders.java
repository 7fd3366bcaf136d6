package org.bramleyscale.internal.http;

import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

import ratpack.http.Headers;

/**
 * Chooses the headers that are passed on between callers and plain services.
 *
 * <p>
 * Headers of one connection stay behind, and so do those that this system gives a meaning
 * to, the caller's API key above all. Stateless and safe for use by multiple threads.
 */
final class PassedHeaders {

	private static final Set<String> STAY_BEHIND = Set.of("authorization", "connection", "content-length", "expect",
			"host", "keep-alive", "proxy-authorization", "request-id", "request-repeatable", "request-timeout-ms", "te",
			"trailer", "transfer-encoding", "upgrade");

	private PassedHeaders() {
	}

	static Map<String, String> of(Headers headers) {
		Map<String, String> passed = new LinkedHashMap<>();
		for (String name : headers.getNames()) {
			if (!STAY_BEHIND.contains(name.toLowerCase(Locale.ROOT))) {
				passed.put(name, String.join(",", headers.getAll(name)));
			}
		}
		return passed;
	}

}
