package org.bramleyscale.internal.endpoint;

import java.time.Duration;
import java.util.List;
import java.util.function.Consumer;

import org.bramleyscale.ModelName;
import org.bramleyscale.RequestId;
import org.bramleyscale.ServiceName;
import org.bramleyscale.ServingException;
import org.bramleyscale.internal.configuration.EndpointEntry;

/**
 * Reservation of KV memory on a group of engines for prompts larger than one engine.
 *
 * <p>
 * Confined to the scheduler's thread.
 */
public interface Reservations {

	/**
	 * Reserves memory on a group of engines, all or nothing.
	 * @param request the request
	 * @param service the service
	 * @param model the model
	 * @param kvTokens total memory needed, in tokens
	 * @param within the maximum time to wait for it
	 * @param reserved called once with the group when all memory is held
	 * @param failed called once instead if the memory could not be held in time
	 * @return the reservation; closing it releases all memory, also while it is pending
	 */
	Reservation reserve(RequestId request, ServiceName service, ModelName model, long kvTokens, Duration within,
			Consumer<List<GroupMember>> reserved, Consumer<ServingException> failed);

	/**
	 * Returns the largest prompt plus answer that the service's engines can hold
	 * together.
	 * @param service the service
	 * @param model the model
	 * @return the size in tokens, or 0 if no capacity is known yet
	 */
	long largestGroupTokens(ServiceName service, ModelName model);

	/**
	 * One reservation; {@link #close()} is idempotent.
	 */
	interface Reservation extends AutoCloseable {

		@Override
		void close();

	}

	/**
	 * One engine of the group.
	 *
	 * @param endpoint the engine
	 * @param hold the id of the hold on it
	 * @param kvTokens the memory held there, in tokens
	 */
	record GroupMember(EndpointEntry endpoint, String hold, long kvTokens) {
	}

}
