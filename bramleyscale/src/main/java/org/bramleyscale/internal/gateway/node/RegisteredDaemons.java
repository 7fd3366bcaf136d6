package org.bramleyscale.internal.gateway.node;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
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
 * Derives the list of VMs from the records by which daemons register, on a platform that
 * provides no such list.
 *
 * <p>
 * Confined to the scheduler's thread.
 */
final class RegisteredDaemons implements ObjectStore {

	private static final Logger logger = Logger.getLogger(RegisteredDaemons.class);

	private final ObjectStore store;

	private final Map<VmId, Integer> sizeClasses = new HashMap<>();

	private final Map<VmId, String> dataCentres = new HashMap<>();

	private boolean listed;

	RegisteredDaemons(ObjectStore store) {
		this.store = store;
	}

	@Override
	public CompletableFuture<Optional<StoredObject>> read(ObjectKey key) {
		return this.store.read(key);
	}

	@Override
	public CompletableFuture<WatchBatch> list(String kind, Runnable answered) {
		return this.store.list(kind, answered);
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
	 * {@inheritDoc} A cached list is sufficient: connected daemons exchange their
	 * members, and the list only provides daemons to dial.
	 */
	@Override
	public CompletableFuture<List<VmRecord>> vms() {
		return this.store.listCached(DaemonRecord.KIND).thenApply((batch) -> {
			List<VmRecord> records = new ArrayList<>();
			this.sizeClasses.clear();
			this.dataCentres.clear();
			this.listed = true;
			for (StoredObject object : batch.changed()) {
				try {
					DaemonRecord record = DaemonRecord.read(object.value());
					records.add(new VmRecord(new VmId(record.vm()), new DataCentre(record.dataCentre()),
							record.peerAddress(), record.httpAddress(), record.leaving()));
					this.sizeClasses.put(new VmId(record.vm()), record.capacity().sizeClass());
					this.dataCentres.put(new VmId(record.vm()), record.dataCentre());
				}
				catch (IOException | IllegalArgumentException ex) {
					logger.warnf("The record of daemon %s can't be read: %s", object.key(), ex.getMessage());
				}
			}
			return records;
		});
	}

	/**
	 * The size class of the largest other VM on the list as it was last read.
	 * @param self the VM that doesn't count
	 * @return the class, {@link FleetView#NO_OTHER_VM} if the list has no other VM, or
	 * empty if it hasn't been read yet
	 */
	OptionalInt largestOtherSizeClass(VmId self) {
		if (!this.listed) {
			return OptionalInt.empty();
		}
		return OptionalInt.of(this.sizeClasses.entrySet()
			.stream()
			.filter((entry) -> !entry.getKey().equals(self))
			.mapToInt(Map.Entry::getValue)
			.max()
			.orElse(FleetView.NO_OTHER_VM));
	}

	/**
	 * The number of daemons on the list as it was last read.
	 * @return the number, 0 if it hasn't been read yet
	 */
	int count() {
		return this.sizeClasses.size();
	}

	/**
	 * The number of daemons of a data centre on the list as it was last read.
	 * @param dataCentre the data centre's name
	 * @return the number, 0 if the list hasn't been read yet
	 */
	int count(String dataCentre) {
		return Collections.frequency(this.dataCentres.values(), dataCentre);
	}

	/**
	 * Writes a daemon's record, whether or not one exists.
	 * @param record the record
	 * @param expected the version that the store is expected to have, 0 for none
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
	 * read is treated as one with start number 0
	 */
	CompletableFuture<Optional<VersionedRecord>> find(VmId vm) {
		return read(new ObjectKey(DaemonRecord.KIND, vm.value())).thenApply((found) -> found.flatMap((object) -> {
			try {
				return Optional.of(new VersionedRecord(DaemonRecord.read(object.value()), object.version()));
			}
			catch (IOException ex) {
				logger.warnf("This daemon's own record can't be read and will be replaced: %s", ex.getMessage());
				return Optional.of(new VersionedRecord(
						new DaemonRecord(vm.value(), "", "", "", false, 0, VmCapacity.UNKNOWN), object.version()));
			}
		}));
	}

	/**
	 * A record in the store.
	 *
	 * @param record the record
	 * @param version its version in the store
	 */
	record VersionedRecord(DaemonRecord record, long version) {
	}

}
