package org.bramleyscale.internal.gateway.follow;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.CompletableFuture;

import org.bramleyscale.internal.platform.ObjectKey;
import org.bramleyscale.internal.platform.PartialStore;
import org.bramleyscale.internal.platform.StoredObject;
import org.bramleyscale.internal.platform.WatchBatch;

/**
 * A store whose answers a test completes one by one.
 */
final class FakeStore implements PartialStore {

	final Deque<CompletableFuture<WatchBatch>> lists = new ArrayDeque<>();

	/** Run when a part of the list that was asked for last is answered. */
	Runnable partAnswered = () -> {
	};

	final Deque<CompletableFuture<WatchBatch>> cachedLists = new ArrayDeque<>();

	final Deque<CompletableFuture<WatchBatch>> watches = new ArrayDeque<>();

	long watchedFrom = -1;

	Duration waited = Duration.ZERO;

	@Override
	public CompletableFuture<WatchBatch> list(String kind, Runnable answered) {
		this.partAnswered = answered;
		CompletableFuture<WatchBatch> call = new CompletableFuture<>();
		this.lists.add(call);
		return call;
	}

	@Override
	public CompletableFuture<WatchBatch> listCached(String kind) {
		CompletableFuture<WatchBatch> call = new CompletableFuture<>();
		this.cachedLists.add(call);
		return call;
	}

	@Override
	public CompletableFuture<WatchBatch> watch(String kind, long after, Duration wait) {
		this.watchedFrom = after;
		this.waited = wait;
		CompletableFuture<WatchBatch> call = new CompletableFuture<>();
		this.watches.add(call);
		return call;
	}

	static StoredObject object(String name, long revision) {
		return new StoredObject(new ObjectKey("servers", name), revision, new byte[] { (byte) revision });
	}

}
