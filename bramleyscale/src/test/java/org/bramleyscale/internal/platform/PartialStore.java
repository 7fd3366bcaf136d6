package org.bramleyscale.internal.platform;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * Base of object stores that implement only the operations which a test needs. The others
 * throw {@link UnsupportedOperationException}, since the code under test must not call
 * them.
 */
public interface PartialStore extends ObjectStore {

	@Override
	default CompletableFuture<Optional<StoredObject>> read(ObjectKey key) {
		throw new UnsupportedOperationException();
	}

	@Override
	default CompletableFuture<WatchBatch> list(String kind, Runnable answered) {
		throw new UnsupportedOperationException();
	}

	@Override
	default CompletableFuture<StoredObject> write(ObjectKey key, byte[] value, long expected) {
		throw new UnsupportedOperationException();
	}

	@Override
	default CompletableFuture<Void> delete(ObjectKey key, long expected) {
		throw new UnsupportedOperationException();
	}

	@Override
	default CompletableFuture<WatchBatch> watch(String kind, long after, Duration wait) {
		throw new UnsupportedOperationException();
	}

	@Override
	default CompletableFuture<List<VmRecord>> vms() {
		throw new UnsupportedOperationException();
	}

}
