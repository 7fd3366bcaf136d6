package org.bramleyscale.internal.configuration;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

/**
 * Runs many asynchronous calls, a few at a time.
 *
 * <p>
 * Invariant: after the first failure no further call starts. Confined to the thread on
 * which the calls complete.
 *
 * @param <T> the type of the results
 */
final class BoundedCalls<T> {

	private final List<Supplier<CompletableFuture<T>>> calls;

	private final List<T> results;

	private final CompletableFuture<List<T>> future = new CompletableFuture<>();

	private int next;

	private int completed;

	private BoundedCalls(List<Supplier<CompletableFuture<T>>> calls) {
		this.calls = calls;
		this.results = new ArrayList<>(Collections.nCopies(calls.size(), null));
	}

	/**
	 * Runs calls.
	 * @param <T> the type of the results
	 * @param calls the calls
	 * @param parallel how many run at a time
	 * @return the results in the order of the calls, or the first failure
	 */
	static <T> CompletableFuture<List<T>> run(List<Supplier<CompletableFuture<T>>> calls, int parallel) {
		BoundedCalls<T> run = new BoundedCalls<>(calls);
		if (calls.isEmpty()) {
			run.future.complete(List.of());
		}
		for (int index = 0; index < Math.min(parallel, calls.size()); index++) {
			run.startNext();
		}
		return run.future;
	}

	private void startNext() {
		if (this.next >= this.calls.size() || this.future.isDone()) {
			return;
		}
		int index = this.next++;
		this.calls.get(index).get().whenComplete((result, failure) -> ended(index, result, failure));
	}

	private void ended(int index, T result, Throwable failure) {
		if (failure != null) {
			this.future.completeExceptionally(failure);
			return;
		}
		this.results.set(index, result);
		this.completed++;
		if (this.completed == this.calls.size()) {
			this.future.complete(this.results);
		}
		else {
			startNext();
		}
	}

}
