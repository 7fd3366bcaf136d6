package org.bramleyscale.standins.platform;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiFunction;

import org.bramleyscale.internal.platform.ObjectKey;
import org.bramleyscale.internal.platform.ObjectStore;
import org.bramleyscale.internal.platform.PlatformException;

/**
 * A fault, the call that it affects, the failure that the caller gets, and whether the
 * object exists afterwards.
 */
enum FaultCase {

	DOWN_READ(PlatformFault.Kind.DOWN, ObjectStore::read, PlatformException.Kind.UNAVAILABLE, false),

	DOWN_WRITE(PlatformFault.Kind.DOWN, FaultCase::write, PlatformException.Kind.UNAVAILABLE, false),

	SILENT_READ(PlatformFault.Kind.SILENT, ObjectStore::read, PlatformException.Kind.UNAVAILABLE, false),

	SILENT_WRITE(PlatformFault.Kind.SILENT, FaultCase::write, PlatformException.Kind.UNKNOWN_OUTCOME, false),

	SILENT_DELETE(PlatformFault.Kind.SILENT, FaultCase::delete, PlatformException.Kind.UNKNOWN_OUTCOME, false),

	SILENT_LIST(PlatformFault.Kind.SILENT, FaultCase::list, PlatformException.Kind.UNAVAILABLE, false),

	SILENT_WATCH(PlatformFault.Kind.SILENT, FaultCase::watch, PlatformException.Kind.UNAVAILABLE, false),

	LOST_REPLY_WRITE(PlatformFault.Kind.LOST_REPLY, FaultCase::write, PlatformException.Kind.UNKNOWN_OUTCOME, true),

	SLOW_WRITE(PlatformFault.Kind.SLOW, FaultCase::write, PlatformException.Kind.UNKNOWN_OUTCOME, true),

	SLOW_REPLY_WRITE(PlatformFault.Kind.SLOW_REPLY, FaultCase::write, PlatformException.Kind.UNKNOWN_OUTCOME, true),

	CONFLICT_WRITE(PlatformFault.Kind.CONFLICT, FaultCase::write, PlatformException.Kind.CONFLICT, false);

	final PlatformFault.Kind fault;

	final BiFunction<ObjectStore, ObjectKey, CompletableFuture<?>> call;

	final PlatformException.Kind expected;

	final boolean stored;

	FaultCase(PlatformFault.Kind fault, BiFunction<ObjectStore, ObjectKey, CompletableFuture<?>> call,
			PlatformException.Kind expected, boolean stored) {
		this.fault = fault;
		this.call = call;
		this.expected = expected;
		this.stored = stored;
	}

	boolean isAnsweredAtOnce() {
		return this.fault == PlatformFault.Kind.DOWN || this.fault == PlatformFault.Kind.CONFLICT;
	}

	private static CompletableFuture<?> write(ObjectStore store, ObjectKey key) {
		return store.write(key, new byte[] { 1 }, 0);
	}

	private static CompletableFuture<?> delete(ObjectStore store, ObjectKey key) {
		return store.delete(key, 1);
	}

	private static CompletableFuture<?> list(ObjectStore store, ObjectKey key) {
		return store.list(key.kind());
	}

	private static CompletableFuture<?> watch(ObjectStore store, ObjectKey key) {
		return store.watch(key.kind(), 0, Duration.ofMillis(100));
	}

}
