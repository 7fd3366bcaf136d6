package org.bramleyscale.internal.admission;

import java.time.Duration;
import java.util.Optional;
import java.util.function.Predicate;

import org.bramleyscale.ClientAccountId;
import org.bramleyscale.RequestId;
import org.bramleyscale.ServingException;

/**
 * Decides whether a request is admitted and which admitted request starts next.
 *
 * <p>
 * Confined to the scheduler's thread.
 */
public interface Admission {

	/**
	 * Admits a request into the queue, or refuses it at once.
	 * @param request the request
	 * @throws ServingException the refusal, with {@code ran} NO and the time after which
	 * to retry, if a retry may succeed
	 */
	void admit(AdmissionRequest request) throws ServingException;

	/**
	 * Removes and returns the next request in fair order that can start now.
	 * @param startable returns whether a waiting request can start
	 * @return the request, or empty if none can start
	 */
	Optional<RequestId> next(Predicate<RequestId> startable);

	/**
	 * Removes a request that ended while waiting.
	 * @param id the request
	 */
	void withdraw(RequestId id);

	/**
	 * Replaces a request's estimated tokens with the tokens used, and refunds the
	 * difference to its account.
	 * @param id the request
	 * @param tokens prompt and answer tokens used; 0 refunds the whole estimate
	 */
	void settle(RequestId id, long tokens);

	/**
	 * Returns the number of waiting requests.
	 * @return the number of waiting requests
	 */
	int waiting();

	/**
	 * Sets this daemon's share of an account's limit.
	 * @param account the account
	 * @param tokensPerSecond the share
	 * @param validFor how long the share is valid; then an equal share applies
	 */
	void setShare(ClientAccountId account, double tokensPerSecond, Duration validFor);

}
