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
 * Reservation of KV memory on a group of engines for a prompt larger than one engine.
 *
 * <p>
 * Confined to the scheduler's thread.
 */
public interface Reservations {

	/**
	 * Asks for memory on a group of engines, all or nothing.
	 * @param request the request
	 * @param service the service
	 * @param model the model
	 * @param kvTokens memory needed in all, in tokens
	 * @param within how long to wait for it
	 * @param reserved called once with the group when all memory is held
	 * @param failed called once instead when it couldn't be held in time
	 * @return gives everything back, before or after it is reserved
	 */
	Reservation reserve(RequestId request, ServiceName service, ModelName model, long kvTokens, Duration within,
			Consumer<List<GroupMember>> reserved, Consumer<ServingException> failed);

	/**
	 * The largest prompt plus answer that the service's engines could take together.
	 * @param service the service
	 * @param model the model
	 * @return tokens, or 0 if nothing is known yet
	 */
	long largest(ServiceName service, ModelName model);

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
	 * @param kvTokens the memory held there
	 */
	record GroupMember(EndpointEntry endpoint, String hold, long kvTokens) {
	}

}
