package org.bramleyscale.internal.routing;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

import org.bramleyscale.EndpointId;

/**
 * Tracks the endpoints to which this daemon sent each prefix, so that prompts are routed
 * to endpoints that have their prefix cached.
 *
 * <p>
 * An endpoint's cache evicts prefixes as it processes other prompts; a prefix counts as
 * cached until this daemon has sent the endpoint a fixed number of further tokens.
 * Confined to the scheduler's thread.
 */
final class PrefixCacheTracker {

	private static final int MAX_PREFIXES = 4_096;

	private static final long EVICTION_TOKENS = 400_000;

	private final Map<Key, Long> lastSent = new LinkedHashMap<>(16, 0.75f, true) {

		private static final long serialVersionUID = 1L;

		@Override
		protected boolean removeEldestEntry(Map.Entry<Key, Long> eldest) {
			return size() > MAX_PREFIXES;
		}

	};

	private final Map<EndpointId, Long> sentTokens = new HashMap<>();

	boolean isCached(long prefix, EndpointId endpoint) {
		Long sentAt = this.lastSent.get(new Key(prefix, endpoint));
		return sentAt != null && this.sentTokens.getOrDefault(endpoint, 0L) - sentAt <= EVICTION_TOKENS;
	}

	void recordSent(long prefix, EndpointId endpoint, int promptTokens) {
		long total = this.sentTokens.merge(endpoint, (long) promptTokens, Long::sum);
		if (prefix != 0) {
			this.lastSent.put(new Key(prefix, endpoint), total);
		}
	}

	/**
	 * A prefix sent to an endpoint.
	 *
	 * @param prefix the prefix's hash
	 * @param endpoint the endpoint
	 */
	private record Key(long prefix, EndpointId endpoint) {
	}

}
