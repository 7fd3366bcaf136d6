package org.bramleyscale.internal.membership;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

import org.bramleyscale.internal.platform.PartialStore;
import org.bramleyscale.internal.platform.VmRecord;

/**
 * An object store that supports only reading the list of VMs.
 */
final class ListOnlyStore implements PartialStore {

	private final Supplier<CompletableFuture<List<VmRecord>>> list;

	ListOnlyStore(Supplier<CompletableFuture<List<VmRecord>>> list) {
		this.list = list;
	}

	@Override
	public CompletableFuture<List<VmRecord>> vms() {
		return this.list.get();
	}

}
