package org.bramleyscale.standins.platform;

import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.bramleyscale.VmId;
import org.bramleyscale.internal.platform.ObjectKey;
import org.bramleyscale.internal.platform.ObjectStore;
import org.bramleyscale.internal.platform.PlatformException;
import org.bramleyscale.internal.platform.StoredObject;
import org.bramleyscale.internal.platform.VmRecord;
import org.bramleyscale.internal.platform.WatchBatch;
import org.bramleyscale.internal.time.Clock;

/**
 * State of the platform stand-in: objects, list of VMs, call rates and call counts.
 *
 * <p>
 * Invariant: an object's version is 1 at its creation and grows by one at each write.
 * Every call is counted, including those refused because of the rate limit.
 * Deterministic; confined to one thread.
 */
public final class PlatformState {

	private final PlatformLimits limits;

	private final Map<String, ObjectKind> kinds = new HashMap<>();

	private final Map<PlatformOperation, Long> calls = new EnumMap<>(PlatformOperation.class);

	private final VmList vms;

	private final TokenBucket reads;

	private final TokenBucket writes;

	public PlatformState(Clock clock, PlatformLimits limits) {
		this.limits = limits;
		this.vms = new VmList(clock, limits.vmListLag());
		this.reads = new TokenBucket(clock, limits.readsPerSecond());
		this.writes = new TokenBucket(clock, limits.writesPerSecond());
	}

	/**
	 * Counts a call and checks it against the rate limit.
	 * @param operation the operation
	 * @throws PlatformException if the rate limit is exceeded
	 */
	public void countAndCheckRate(PlatformOperation operation) throws PlatformException {
		this.calls.merge(operation, 1L, Long::sum);
		TokenBucket rateLimit = (operation.isWrite()) ? this.writes : this.reads;
		if (!rateLimit.tryTake()) {
			throw new PlatformException(PlatformException.Kind.UNAVAILABLE,
					operation + " exceeds the platform's rate limit");
		}
	}

	/**
	 * Returns the number of calls so far.
	 * @return a copy of the counts by operation
	 */
	public Map<PlatformOperation, Long> calls() {
		return new EnumMap<>(this.calls);
	}

	public Optional<StoredObject> read(ObjectKey key) {
		return kind(key.kind()).read(key.name());
	}

	public WatchBatch list(String kind) {
		return kind(kind).list();
	}

	public StoredObject write(ObjectKey key, byte[] value, long expected) throws PlatformException {
		if (value.length > ObjectStore.MAX_VALUE_BYTES) {
			throw new PlatformException(PlatformException.Kind.TOO_LARGE,
					key + " with " + value.length + " bytes exceeds the limit of " + ObjectStore.MAX_VALUE_BYTES);
		}
		return kind(key.kind()).write(key, value, expected);
	}

	public void delete(ObjectKey key, long expected) throws PlatformException {
		kind(key.kind()).delete(key, expected);
	}

	/**
	 * Returns the changes to objects of a kind.
	 * @param kind the kind
	 * @param after the revision after which changes are returned
	 * @return the changes, or a gap if they include a deletion or are no longer in the
	 * history
	 */
	public WatchBatch changesAfter(String kind, long after) {
		return kind(kind).changesAfter(after);
	}

	WatchBatch gap(String kind) {
		return kind(kind).gap();
	}

	public List<VmRecord> vms() {
		return this.vms.read();
	}

	public void putVm(VmRecord vm) {
		this.vms.put(vm);
	}

	public void removeVm(VmId vm) {
		this.vms.remove(vm);
	}

	private ObjectKind kind(String kind) {
		return this.kinds.computeIfAbsent(kind, (name) -> new ObjectKind(this.limits.historyLength()));
	}

}
