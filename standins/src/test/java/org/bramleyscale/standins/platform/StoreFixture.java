package org.bramleyscale.standins.platform;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Supplier;

import org.bramleyscale.internal.platform.ObjectStore;

/**
 * An implementation of the object API under test, together with its platform.
 */
interface StoreFixture extends AutoCloseable {

	/**
	 * Calls the store on its scheduler's thread and waits for completion.
	 * @param call the call
	 * @param <T> the type of the result
	 * @return the result
	 * @throws Exception the failure of the call
	 */
	<T> T call(Supplier<CompletableFuture<T>> call) throws Exception;

	ObjectStore store();

	/**
	 * Returns a store with a short call timeout, for calls that never get a reply.
	 * @return the store
	 */
	ObjectStore shortTimeoutStore();

	void change(Consumer<PlatformService> change) throws Exception;

	/**
	 * Lets time pass on the platform's scheduler, so that tasks that were due there
	 * before have run.
	 * @param time the time to pass
	 * @throws Exception if interrupted
	 */
	void advance(Duration time) throws Exception;

	@Override
	void close() throws Exception;

}
