package org.bramleyscale.internal.membership;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

import org.bramleyscale.internal.platform.ObjectKey;
import org.bramleyscale.internal.platform.ObjectStore;
import org.bramleyscale.internal.platform.StoredObject;
import org.bramleyscale.internal.platform.VmRecord;
import org.bramleyscale.internal.platform.WatchBatch;

/**
 * A platform that offers its list of VMs and nothing else.
 */
final class ListOnlyStore implements ObjectStore {

	private final Supplier<CompletableFuture<List<VmRecord>>> list;

	ListOnlyStore(Supplier<CompletableFuture<List<VmRecord>>> list) {
		this.list = list;
	}

	@Override
	public CompletableFuture<Optional<StoredObject>> read(ObjectKey key) {
		throw new UnsupportedOperationException();
	}

	@Override
	public CompletableFuture<WatchBatch> list(String kind) {
		throw new UnsupportedOperationException();
	}

	@Override
	public CompletableFuture<StoredObject> write(ObjectKey key, byte[] value, long expected) {
		throw new UnsupportedOperationException();
	}

	@Override
	public CompletableFuture<Void> delete(ObjectKey key, long expected) {
		throw new UnsupportedOperationException();
	}

	@Override
	public CompletableFuture<WatchBatch> watch(String kind, long after, Duration wait) {
		throw new UnsupportedOperationException();
	}

	@Override
	public CompletableFuture<List<VmRecord>> vms() {
		return this.list.get();
	}

}
