package org.bramleyscale.standins.platform;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Supplier;

import org.bramleyscale.internal.platform.ObjectStore;

/**
 * One implementation of the object API with its platform, under test.
 */
interface StoreFixture extends AutoCloseable {

	/**
	 * Calls the store on its scheduler's thread and waits for the end.
	 * @param call the call
	 * @param <T> the type of the result
	 * @return the result
	 * @throws Exception what the call failed with
	 */
	<T> T call(Supplier<CompletableFuture<T>> call) throws Exception;

	ObjectStore store();

	/**
	 * The access of a caller with little patience, for calls that never get a reply.
	 * @return the store
	 */
	ObjectStore impatientStore();

	void change(Consumer<PlatformService> change) throws Exception;

	/**
	 * Lets so much time pass on the platform's own scheduler, so that what was due there
	 * before has happened.
	 * @param time the time
	 * @throws Exception if interrupted
	 */
	void pass(Duration time) throws Exception;

	@Override
	void close() throws Exception;

}
