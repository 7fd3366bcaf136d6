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
 * Separates end-to-end headers from hop-by-hop headers.
 *
 * <p>
 * Stateless and safe for use by multiple threads.
 */
public final class EndToEndHeaders {

	private static final Set<String> HOP_BY_HOP = Set.of("connection", "keep-alive", "proxy-connection",
			"proxy-authenticate", "proxy-authorization", "te", "trailer", "transfer-encoding", "upgrade",
			"content-length", "expect");

	private EndToEndHeaders() {
	}

	/**
	 * Returns the end-to-end headers.
	 * @param headers all headers
	 * @param excluded names, in lower case, of further headers to remove
	 * @return the end-to-end headers in their order
	 */
	public static List<Header> of(HttpHeaders headers, Set<String> excluded) {
		Set<String> dropped = new HashSet<>(excluded);
		for (String value : headers.getAll(HttpHeaderNames.CONNECTION)) {
			for (String name : value.split(",")) {
				dropped.add(name.strip().toLowerCase(Locale.ROOT));
			}
		}
		List<Header> endToEnd = new ArrayList<>();
		for (Map.Entry<String, String> header : headers) {
			String name = header.getKey().toLowerCase(Locale.ROOT);
			if (!HOP_BY_HOP.contains(name) && !dropped.contains(name)) {
				endToEnd.add(new Header(header.getKey(), header.getValue()));
			}
		}
		return endToEnd;
	}

}
