package org.bramleyscale.internal.configuration;

import java.io.IOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.List;
import java.util.Optional;

/**
 * The last steps from version to version.
 *
 * <p>
 * Invariants: each step starts where the one before it ended, the last one ends at the
 * held version, and the changes kept are bounded. Confined to the scheduler's thread.
 */
final class History {

	private static final int MOST_STEPS = 64;

	private static final int MOST_CHANGES = 2000;

	private final Deque<HistoryStep> steps = new ArrayDeque<>();

	private int changes;

	/**
	 * Adds a step.
	 * @param step the step; if it doesn't start where the last one ended, all earlier
	 * ones are forgotten
	 */
	void add(HistoryStep step) {
		if (!this.steps.isEmpty() && !this.steps.getLast().hash().equals(step.baseHash())) {
			clear();
		}
		this.steps.addLast(step);
		this.changes += step.changes().size();
		while (this.steps.size() > MOST_STEPS || this.changes > MOST_CHANGES) {
			this.changes -= this.steps.removeFirst().changes().size();
		}
	}

	/**
	 * Takes over the history that came with a snapshot.
	 * @param received the steps that led to the snapshot
	 * @param held the snapshot
	 */
	void replace(List<HistoryStep> received, Snapshot held) {
		clear();
		received.forEach(this::add);
		if (!this.steps.isEmpty() && !this.steps.getLast().hash().equals(held.hash())) {
			clear();
		}
	}

	List<HistoryStep> all() {
		return List.copyOf(this.steps);
	}

	/**
	 * The steps that lead from a version to the held one.
	 * @param version the version
	 * @param hash its content hash
	 * @return the steps, or empty if they are forgotten
	 */
	Optional<List<HistoryStep>> since(long version, ContentHash hash) {
		List<HistoryStep> later = this.steps.stream().filter((step) -> step.base() >= version).toList();
		boolean known = !later.isEmpty() && later.get(0).base() == version && later.get(0).baseHash().equals(hash);
		return known ? Optional.of(later) : Optional.empty();
	}

	/**
	 * The content of an earlier version.
	 * @param version the version
	 * @param held the held version
	 * @return the content, or empty if the steps are forgotten
	 */
	Optional<Snapshot> earlier(long version, Snapshot held) {
		if (version == held.version()) {
			return Optional.of(held);
		}
		List<HistoryStep> later = new ArrayList<>(
				this.steps.stream().filter((step) -> step.base() >= version).toList());
		if (later.isEmpty() || later.get(0).base() != version) {
			return Optional.empty();
		}
		Collections.reverse(later);
		try {
			Snapshot snapshot = held;
			for (HistoryStep step : later) {
				snapshot = snapshot.with(step.base(), step.changes().stream().map(EncodedChange::backward).toList());
			}
			return Optional.of(snapshot);
		}
		catch (IOException ex) {
			return Optional.empty();
		}
	}

	private void clear() {
		this.steps.clear();
		this.changes = 0;
	}

}
