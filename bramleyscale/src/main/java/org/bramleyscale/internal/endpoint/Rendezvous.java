package org.bramleyscale.internal.endpoint;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;

import com.google.common.hash.Hashing;

/**
 * Rendezvous hashing: all daemons with the same set of nodes select the same node for a
 * key, and the removal of a node moves only its own keys.
 *
 * <p>
 * Safe for use by multiple threads.
 */
public final class Rendezvous {

	private static final int SEED = 0x62726d6c;

	private Rendezvous() {
	}

	/**
	 * Returns the weight of a node for a key.
	 * @param key the key
	 * @param node the node
	 * @return the weight; the node with the greatest weight is selected
	 */
	public static long weight(String key, String node) {
		return Hashing.murmur3_128(SEED).hashString(key + '|' + node, StandardCharsets.UTF_8).asLong();
	}

	/**
	 * Selects the node with the greatest weight.
	 * @param <N> the type of node
	 * @param key the key
	 * @param nodes the nodes
	 * @param name returns the name of a node, unique among the nodes
	 * @return the node, or empty if there are none
	 */
	public static <N> Optional<N> select(String key, List<N> nodes, Function<N, String> name) {
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
