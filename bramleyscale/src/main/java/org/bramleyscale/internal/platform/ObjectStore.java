package org.bramleyscale.internal.platform;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * The platform's object API: the only place where anything lasts or is agreed.
 *
 * <p>
 * Futures complete on the daemon's scheduler thread, normally or with a
 * {@link PlatformException}; each completes within the adapter's timeout. Every call, a
 * waiting watch included, counts against the platform's rate.
 */
public interface ObjectStore {

	/** The largest value the platform takes, in bytes. */
	int LARGEST_VALUE = 1_000_000;

	/**
	 * Reads one object.
	 * @param key the key
	 * @return the object, or empty if there is none
	 */
	CompletableFuture<Optional<StoredObject>> read(ObjectKey key);

	/**
	 * Reads all objects of a kind.
	 * @param kind the kind
	 * @return the objects and the revision from which a watch continues
	 */
	CompletableFuture<WatchBatch> list(String kind);

	/**
	 * Reads all objects of a kind as they were at some moment of the last seconds, for a
	 * fraction of the price where the platform offers that.
	 * @param kind the kind
	 * @return the objects and the revision from which a watch continues
	 */
	default CompletableFuture<WatchBatch> listCached(String kind) {
		return list(kind);
	}

	/**
	 * Writes an object if the stored version is the expected one.
	 * @param key the key
	 * @param value the new value, at most {@link #LARGEST_VALUE} bytes
	 * @param expected the version it must have now; 0 means it must not exist
	 * @return the object as stored
	 */
	CompletableFuture<StoredObject> write(ObjectKey key, byte[] value, long expected);

	/**
	 * Deletes an object if the stored version is the expected one.
	 * @param key the key
	 * @param expected the version it must have now
	 * @return completes once deleted
	 */
	CompletableFuture<Void> delete(ObjectKey key, long expected);

	/**
	 * Waits for changes of a kind.
	 * @param kind the kind
	 * @param after the revision to continue from
	 * @param wait how long the platform may hold the call when nothing changes
	 * @return the changes, possibly none
	 */
	CompletableFuture<WatchBatch> watch(String kind, long after, Duration wait);

	/**
	 * Reads the lagging list of VMs.
	 * @return the VMs
	 */
	CompletableFuture<List<VmRecord>> vms();

}
