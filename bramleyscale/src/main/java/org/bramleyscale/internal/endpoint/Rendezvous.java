package org.bramleyscale.internal.endpoint;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;

import com.google.common.hash.Hashing;

/**
 * Rendezvous hashing: every daemon that knows the same nodes picks the same ones for a
 * key, and a node that goes moves only its own keys.
 *
 * <p>
 * Safe for use by multiple threads.
 */
public final class Rendezvous {

	private static final int SEED = 0x62726d6c;

	private Rendezvous() {
	}

	/**
	 * The weight of a node for a key.
	 * @param key the key
	 * @param node the node
	 * @return the weight; the greatest wins
	 */
	public static long weight(String key, String node) {
		return Hashing.murmur3_128(SEED).hashString(key + '|' + node, StandardCharsets.UTF_8).asLong();
	}

	/**
	 * The node with the greatest weight.
	 * @param <N> the type of node
	 * @param key the key
	 * @param nodes the nodes
	 * @param name the name of a node, unique among the nodes
	 * @return the node, or empty if there are none
	 */
	public static <N> Optional<N> first(String key, List<N> nodes, Function<N, String> name) {
		N best = null;
		long bestWeight = Long.MIN_VALUE;
		for (N node : nodes) {
			long weight = weight(key, name.apply(node));
			if (best == null || weight > bestWeight) {
				best = node;
				bestWeight = weight;
			}
		}
		return Optional.ofNullable(best);
	}

}
