package org.bramleyscale.internal.platform;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * The platform's object API, which is the only durable storage and the only means of
 * agreement between daemons.
 *
 * <p>
 * Futures complete on the daemon's scheduler thread, normally or with a
 * {@link PlatformException}; each completes within the adapter's timeout. Every call,
 * including a watch that waits, counts against the platform's rate limit.
 */
public interface ObjectStore {

	/** The maximum size of a value, in bytes. */
	int MAX_VALUE_BYTES = 1_000_000;

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
	default CompletableFuture<WatchBatch> list(String kind) {
		return list(kind, () -> {
		});
	}

	/**
	 * Reads all objects of a kind. A long list takes many calls, and their answers show
	 * that the platform is available long before the list is whole.
	 * @param kind the kind
	 * @param answered run after the answer to each call that reads a part, before the
	 * result completes; never if the platform doesn't list in parts
	 * @return the objects and the revision from which a watch continues
	 */
	CompletableFuture<WatchBatch> list(String kind, Runnable answered);

	/**
	 * Reads all objects of a kind as of some moment within the last seconds, at a
	 * fraction of the cost where the platform supports it.
	 * @param kind the kind
	 * @return the objects and the revision from which a watch continues
	 */
	default CompletableFuture<WatchBatch> listCached(String kind) {
		return list(kind);
	}

	/**
	 * Writes an object if the stored version is the expected one.
	 * @param key the key
	 * @param value the new value, at most {@link #MAX_VALUE_BYTES} bytes
	 * @param expected the expected stored version; 0 means that the object must not exist
	 * @return the object as stored
	 */
	CompletableFuture<StoredObject> write(ObjectKey key, byte[] value, long expected);

	/**
	 * Deletes an object if the stored version is the expected one.
	 * @param key the key
	 * @param expected the expected stored version
	 * @return completes once the object is deleted
	 */
	CompletableFuture<Void> delete(ObjectKey key, long expected);

	/**
	 * Waits for changes to objects of a kind.
	 * @param kind the kind
	 * @param after the revision to continue from
	 * @param wait the maximum time for which the platform holds the call if nothing
	 * changes
	 * @return the changes, possibly none
	 */
	CompletableFuture<WatchBatch> watch(String kind, long after, Duration wait);

	/**
	 * Reads the list of VMs, which may lag behind their actual state.
	 * @return the VMs
	 */
	CompletableFuture<List<VmRecord>> vms();

}
