package org.bramleyscale.internal.admission;

import java.time.Duration;
import java.util.Optional;
import java.util.function.Predicate;

import org.bramleyscale.ClientAccountId;
import org.bramleyscale.RequestId;
import org.bramleyscale.ServingException;

/**
 * Decides whether a request is admitted and which admitted request goes on next.
 *
 * <p>
 * Confined to the scheduler's thread.
 */
public interface Admission {

	/**
	 * Admits a request into the queue, or refuses it at once.
	 * @param request the request
	 * @throws ServingException the refusal, with {@code ran} NO and when to come back
	 */
	void admit(AdmissionRequest request) throws ServingException;

	/**
	 * Takes the next request in fair order that can start now.
	 * @param startable tells whether a waiting request can start
	 * @return the request, or empty if none can start
	 */
	Optional<RequestId> next(Predicate<RequestId> startable);

	/**
	 * Removes a request that ended while it waited.
	 * @param id the request
	 */
	void withdraw(RequestId id);

	/**
	 * Settles the estimate against what was used.
	 * @param id the request
	 * @param tokens prompt and answer tokens used; 0 gives the whole estimate back
	 */
	void settle(RequestId id, long tokens);

	/**
	 * How many requests wait.
	 * @return their number
	 */
	int waiting();

	/**
	 * Sets this entry's share of an account's limit.
	 * @param account the account
	 * @param tokensPerSecond the share
	 * @param validFor how long it holds; then a cautious share applies
	 */
	void share(ClientAccountId account, double tokensPerSecond, Duration validFor);

}
