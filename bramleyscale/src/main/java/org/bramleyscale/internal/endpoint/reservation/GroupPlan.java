package org.bramleyscale.internal.endpoint.reservation;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.bramleyscale.DataCentre;
import org.bramleyscale.internal.configuration.EndpointEntry;
import org.bramleyscale.internal.endpoint.LoadReport;

/**
 * Chooses the engines that together hold a prompt too large for one.
 *
 * <p>
 * Invariants: the parts add up to what is needed, no part is larger than what its engine
 * may hold, and the parts are in the order of the endpoints' names, in which everybody
 * takes them. One data centre's engines are preferred, since they exchange KV memory.
 * Stateless and safe for use by multiple threads.
 */
final class GroupPlan {

	/** Of an engine's memory, the largest part that a hold may take. */
	static final double HOLDABLE = 0.85;

	private GroupPlan() {
	}

	/**
	 * Chooses engines.
	 * @param engines the engines
	 * @param kvTokens memory needed in all
	 * @return the parts in the order in which they must be taken, or empty if all engines
	 * together are too small
	 */
	static Optional<List<Part>> of(List<Engine> engines, long kvTokens) {
		Map<DataCentre, List<Engine>> byDataCentre = new LinkedHashMap<>();
		for (Engine engine : engines) {
			byDataCentre.computeIfAbsent(engine.entry.dataCentre(), (key) -> new ArrayList<>()).add(engine);
		}
		return byDataCentre.values()
			.stream()
			.filter((group) -> holdable(group) >= kvTokens)
			.max(Comparator.comparingLong(GroupPlan::free))
			.or(() -> Optional.of(engines).filter((group) -> holdable(group) >= kvTokens))
			.map((group) -> split(choose(group, kvTokens), kvTokens));
	}

	/**
	 * The largest amount that could be held on all engines together.
	 * @param engines the engines
	 * @return tokens
	 */
	static long holdable(List<Engine> engines) {
		return engines.stream().mapToLong(Engine::holdable).sum();
	}

	private static long free(List<Engine> engines) {
		return engines.stream().mapToLong(Engine::free).sum();
	}

	private static List<Engine> choose(List<Engine> engines, long kvTokens) {
		List<Engine> byRoom = new ArrayList<>(engines);
		byRoom.sort(Comparator.comparingLong(Engine::free)
			.reversed()
			.thenComparing((engine) -> engine.entry.name().value()));
		List<Engine> chosen = new ArrayList<>();
		long sum = 0;
		for (Engine engine : byRoom) {
			if (sum < kvTokens) {
				chosen.add(engine);
				sum += engine.holdable();
			}
		}
		return chosen;
	}

	private static List<Part> split(List<Engine> engines, long kvTokens) {
		double share = (double) kvTokens / holdable(engines);
		List<Engine> ordered = new ArrayList<>(engines);
		ordered.sort(Comparator.comparing((engine) -> engine.entry.name().value()));
		List<Part> parts = new ArrayList<>();
		long left = kvTokens;
		for (Engine engine : ordered) {
			long part = Math.min(left, Math.min(engine.holdable(), (long) Math.ceil(engine.holdable() * share)));
			parts.add(new Part(engine.entry, part));
			left -= part;
		}
		parts.removeIf((part) -> part.kvTokens == 0);
		return List.copyOf(parts);
	}

	/**
	 * An engine that may take part.
	 *
	 * @param entry the engine
	 * @param kvCapacity its KV memory
	 * @param kvUsed what is used of it
	 */
	record Engine(EndpointEntry entry, long kvCapacity, long kvUsed) {

		static Engine of(EndpointEntry entry, LoadReport report) {
			return new Engine(entry, report.kvCapacity(), report.kvUsed());
		}

		private long holdable() {
			return (long) (this.kvCapacity * HOLDABLE);
		}

		private long free() {
			return this.kvCapacity - this.kvUsed;
		}

	}

	/**
	 * One engine's part.
	 *
	 * @param entry the engine
	 * @param kvTokens memory to be held there
	 */
	record Part(EndpointEntry entry, long kvTokens) {
	}

}
