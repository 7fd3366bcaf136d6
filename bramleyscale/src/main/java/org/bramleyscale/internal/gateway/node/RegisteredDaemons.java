package org.bramleyscale.internal.gateway.node;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.concurrent.CompletableFuture;

import org.bramleyscale.DataCentre;
import org.bramleyscale.VmId;
import org.bramleyscale.internal.peer.VmCapacity;
import org.bramleyscale.internal.platform.ObjectKey;
import org.bramleyscale.internal.platform.ObjectStore;
import org.bramleyscale.internal.platform.StoredObject;
import org.bramleyscale.internal.platform.VmRecord;
import org.bramleyscale.internal.platform.WatchBatch;
import org.jboss.logging.Logger;

/**
 * Takes the list of VMs from what daemons wrote about themselves, on a platform that has
 * no such list of its own.
 *
 * <p>
 * Confined to the scheduler's thread.
 */
final class RegisteredDaemons implements ObjectStore {

	private static final Logger logger = Logger.getLogger(RegisteredDaemons.class);

	private final ObjectStore store;

	private final Map<VmId, Integer> sizes = new HashMap<>();

	private boolean listed;

	RegisteredDaemons(ObjectStore store) {
		this.store = store;
	}

	@Override
	public CompletableFuture<Optional<StoredObject>> read(ObjectKey key) {
		return this.store.read(key);
	}

	@Override
	public CompletableFuture<WatchBatch> list(String kind) {
		return this.store.list(kind);
	}

	@Override
	public CompletableFuture<WatchBatch> listCached(String kind) {
		return this.store.listCached(kind);
	}

	@Override
	public CompletableFuture<StoredObject> write(ObjectKey key, byte[] value, long expected) {
		return this.store.write(key, value, expected);
	}

	@Override
	public CompletableFuture<Void> delete(ObjectKey key, long expected) {
		return this.store.delete(key, expected);
	}

	@Override
	public CompletableFuture<WatchBatch> watch(String kind, long after, Duration wait) {
		return this.store.watch(kind, after, wait);
	}

	/**
	 * {@inheritDoc} A cached list will do: daemons that have met tell each other who is
	 * there, and the list only says whom to look for.
	 */
	@Override
	public CompletableFuture<List<VmRecord>> vms() {
		return this.store.listCached(DaemonRecord.KIND).thenApply((batch) -> {
			List<VmRecord> records = new ArrayList<>();
			this.sizes.clear();
			this.listed = true;
			for (StoredObject object : batch.changed()) {
				try {
					DaemonRecord record = DaemonRecord.read(object.value());
					records.add(new VmRecord(new VmId(record.vm()), new DataCentre(record.dataCentre()),
							record.peerAddress(), record.httpAddress(), record.leaving()));
					this.sizes.put(new VmId(record.vm()), record.capacity().sizeClass());
				}
				catch (IOException | IllegalArgumentException ex) {
					logger.warnf("The record of daemon %s can't be read: %s", object.key(), ex.getMessage());
				}
			}
			return records;
		});
	}

	/**
	 * The class of size of the largest other VM on the list as it was last read.
	 * @param self the VM that doesn't count
	 * @return the class, {@link FleetKnowledge#NO_OTHER} if the list names no other VM,
	 * or empty if it wasn't read yet
	 */
	OptionalInt largestOther(VmId self) {
		if (!this.listed) {
			return OptionalInt.empty();
		}
		return OptionalInt.of(this.sizes.entrySet()
			.stream()
			.filter((entry) -> !entry.getKey().equals(self))
			.mapToInt(Map.Entry::getValue)
			.max()
			.orElse(FleetKnowledge.NO_OTHER));
	}

	/**
	 * Writes a daemon's record, whatever stands there.
	 * @param record the record
	 * @param expected the version that stands there as far as known, 0 for none
	 * @return completes with the version written
	 */
	CompletableFuture<Long> register(DaemonRecord record, long expected) {
		return write(new ObjectKey(DaemonRecord.KIND, record.vm()), record.write(), expected)
			.thenApply(StoredObject::version);
	}

	/**
	 * Reads a daemon's record.
	 * @param vm its VM
	 * @return the record with its version, or empty if there is none; one that can't be
	 * read counts as a start with number 0
	 */
	CompletableFuture<Optional<Registered>> registered(VmId vm) {
		return read(new ObjectKey(DaemonRecord.KIND, vm.value())).thenApply((found) -> found.flatMap((object) -> {
			try {
				return Optional.of(new Registered(DaemonRecord.read(object.value()), object.version()));
			}
			catch (IOException ex) {
				logger.warnf("The own record can't be read and will be replaced: %s", ex.getMessage());
				return Optional.of(new Registered(
						new DaemonRecord(vm.value(), "", "", "", false, 0, VmCapacity.UNKNOWN), object.version()));
			}
		}));
	}

	/**
	 * A record that stands in the store.
	 *
	 * @param record the record
	 * @param version its version there
	 */
	record Registered(DaemonRecord record, long version) {
	}

}
