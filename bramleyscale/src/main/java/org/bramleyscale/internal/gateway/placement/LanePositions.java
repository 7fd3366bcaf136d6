package org.bramleyscale.internal.gateway.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;

import org.bramleyscale.internal.gateway.backend.Backend;
import org.bramleyscale.internal.gateway.backend.EndpointStart;

/**
 * The order in which engines are divided into lanes.
 *
 * <p>
 * Engines are ordered by id. If some requests may use only one group of engines, groups
 * are interleaved so that each has the same share of both lanes: in the order of ids
 * alone, all engines of the long lane may be in one region, and long prompts restricted
 * to another region would delay the short answers there. Stateless and safe for use by
 * multiple threads.
 */
final class LanePositions {

	private LanePositions() {
	}

	/**
	 * Determines the position of each engine.
	 * @param engines the engines that belong to a lane, in the order of ids
	 * @param group the group of an engine, empty if it has none
	 * @return the positions, from 0
	 */
	static Map<EndpointStart, Integer> of(List<Backend> engines, Function<Backend, Optional<String>> group) {
		Map<Optional<String>, List<Backend>> groups = new HashMap<>();
		engines
			.forEach((engine) -> groups.computeIfAbsent(group.apply(engine), (key) -> new ArrayList<>()).add(engine));
		List<Backend> ordered = new ArrayList<>(engines);
		if (groups.size() > 1) {
			Map<EndpointStart, Double> ranks = new HashMap<>();
			groups.values().forEach((members) -> addRanks(members, ranks));
			ordered.sort(Comparator.comparing((engine) -> ranks.get(engine.start())));
		}
		Map<EndpointStart, Integer> positions = new HashMap<>();
		ordered.forEach((engine) -> positions.put(engine.start(), positions.size()));
		return positions;
	}

	private static void addRanks(List<Backend> members, Map<EndpointStart, Double> ranks) {
		for (int i = 0; i < members.size(); i++) {
			ranks.put(members.get(i).start(), (i + 0.5) / members.size());
		}
	}

}
