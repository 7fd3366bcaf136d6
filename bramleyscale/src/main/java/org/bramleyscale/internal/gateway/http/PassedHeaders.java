package org.bramleyscale.internal.gateway.http;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import org.bramleyscale.internal.gateway.request.Header;

/**
 * Tells end-to-end headers from those that concern one connection only.
 *
 * <p>
 * Stateless and safe for use by multiple threads.
 */
public final class PassedHeaders {

	private static final Set<String> ONE_CONNECTION = Set.of("connection", "keep-alive", "proxy-connection",
			"proxy-authenticate", "proxy-authorization", "te", "trailer", "transfer-encoding", "upgrade",
			"content-length", "expect");

	private PassedHeaders() {
	}

	/**
	 * The headers that pass on.
	 * @param headers all headers
	 * @param besides names, in lower case, of further headers that don't pass
	 * @return the end-to-end headers in their order
	 */
	public static List<Header> of(HttpHeaders headers, Set<String> besides) {
		Set<String> dropped = new HashSet<>(besides);
		for (String value : headers.getAll(HttpHeaderNames.CONNECTION)) {
			for (String name : value.split(",")) {
				dropped.add(name.strip().toLowerCase(Locale.ROOT));
			}
		}
		List<Header> passed = new ArrayList<>();
		for (Map.Entry<String, String> header : headers) {
			String name = header.getKey().toLowerCase(Locale.ROOT);
			if (!ONE_CONNECTION.contains(name) && !dropped.contains(name)) {
				passed.add(new Header(header.getKey(), header.getValue()));
			}
		}
		return passed;
	}

}
