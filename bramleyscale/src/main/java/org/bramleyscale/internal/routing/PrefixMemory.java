package org.bramleyscale.internal.routing;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

import org.bramleyscale.EndpointId;

/**
 * Remembers which prefixes this entry sent where, so that prompts follow the caches.
 *
 * <p>
 * An endpoint's cache forgets as other work passes through; a prefix counts as cached
 * until this entry has sent the endpoint a fixed number of other tokens. Confined to the
 * scheduler's thread.
 */
final class PrefixMemory {

	private static final int MOST_PREFIXES = 4_096;

	private static final long TOKENS_UNTIL_FORGOTTEN = 400_000;

	private final Map<Key, Long> sent = new LinkedHashMap<>(16, 0.75f, true) {

		private static final long serialVersionUID = 1L;

		@Override
		protected boolean removeEldestEntry(Map.Entry<Key, Long> eldest) {
			return size() > MOST_PREFIXES;
		}

	};

	private final Map<EndpointId, Long> tokens = new HashMap<>();

	boolean cached(long prefix, EndpointId endpoint) {
		Long at = this.sent.get(new Key(prefix, endpoint));
		return at != null && this.tokens.getOrDefault(endpoint, 0L) - at <= TOKENS_UNTIL_FORGOTTEN;
	}

	void sent(long prefix, EndpointId endpoint, int promptTokens) {
		long total = this.tokens.merge(endpoint, (long) promptTokens, Long::sum);
		if (prefix != 0) {
			this.sent.put(new Key(prefix, endpoint), total);
		}
	}

	/**
	 * A prefix at an endpoint.
	 *
	 * @param prefix the prefix's hash
	 * @param endpoint the endpoint
	 */
	private record Key(long prefix, EndpointId endpoint) {
	}

}
