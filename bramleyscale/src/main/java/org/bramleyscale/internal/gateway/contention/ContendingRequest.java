package org.bramleyscale.internal.gateway.contention;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalInt;

import org.bramleyscale.ClientAccountId;
import org.bramleyscale.internal.gateway.catalog.Account;
import org.bramleyscale.internal.gateway.catalog.EngineProfile;
import org.bramleyscale.internal.gateway.catalog.Route;
import org.bramleyscale.internal.gateway.catalog.Service;
import org.bramleyscale.internal.gateway.placement.EnginePlacement;
import org.bramleyscale.internal.gateway.placement.SlotReserve;

/**
 * The properties of a request that decide its place in the queue.
 *
 * <p>
 * Immutable and safe for use by multiple threads.
 *
 * @param priority its priority; 0 is the most urgent
 * @param account its client account, if it has one; requests without account share the
 * capacity of one
 * @param need what it needs of the engines
 * @param costMillis the prefill time of its prompt on one engine and the time of its
 * answer in a slot, ms
 * @param firstEventMillis the time from its placement to its first event, ms; that of a
 * short prompt doesn't depend on its length, so that longer ones don't count as late when
 * they arrive
 * @param targetAt the time at which its first event is due, ns
 * @param reservesAt the time from which smaller prompts of the same or a less urgent
 * priority no longer overtake it for memory, ns
 * @param leavesAt the time at which its caller leaves without a first event, ns
 */
public record ContendingRequest(int priority, Optional<ClientAccountId> account, Need need, double costMillis,
		double firstEventMillis, long targetAt, long reservesAt, long leavesAt) {

	private static final double NANOS_PER_MILLI = 1_000_000;

	/**
	 * Derives the properties from a request that arrives now.
	 * @param service its service, which must have engines
	 * @param route its route
	 * @param account its account, if it has one
	 * @param promptTokens the length of its prompt
	 * @param outputTokens the maximum length of its answer
	 * @param now the time
	 * @param callerTimeout how long its caller waits for the first event
	 * @return the properties
	 */
	public static ContendingRequest of(Service service, Route route, Optional<Account> account, long promptTokens,
			long outputTokens, long now, Duration callerTimeout) {
		EngineProfile profile = service.engine().orElseThrow();
		Need need = need(service, profile, promptTokens + outputTokens, promptTokens);
		double prefill = profile.prefillMillis(promptTokens);
		double shared = (need == Need.LONG_LANE) ? prefill / EnginePlacement.MAX_PREFILL_ENGINES : 0;
		double first = shared + SlotReserve.firstEventMillis(profile);
		return new ContendingRequest(priority(route, account), account.map(Account::id), need,
				SlotReserve.slotMillis(profile, promptTokens, outputTokens), first,
				now + route.targetLatency().toNanos(),
				now + Math.max(0, route.targetLatency().toNanos() - nanos(shared)), now + callerTimeout.toNanos());
	}

	/**
	 * The priority of a request: the account's if it has one, otherwise the route's.
	 * @param route the route
	 * @param account the account, if the request has one
	 * @return the priority; 0 is the most urgent
	 */
	public static int priority(Route route, Optional<Account> account) {
		return account.map(Account::priority).orElse(OptionalInt.empty()).orElse(route.priority());
	}

	private static Need need(Service service, EngineProfile profile, long tokens, long promptTokens) {
		if (EnginePlacement.isLong(service, promptTokens)) {
			return Need.LONG_LANE;
		}
		return (tokens <= profile.memoryTokens() / profile.slots()) ? Need.SLOT : Need.MEMORY;
	}

	/**
	 * Whether the request can still meet its target if it is placed now.
	 * @param now the time
	 * @return false once its first event will be late
	 */
	boolean canMeetTarget(long now) {
		return now + nanos(this.firstEventMillis) <= this.targetAt;
	}

	/**
	 * Whether the request can get its first event before its caller leaves.
	 * @param now the time at which it is placed
	 * @return false if its caller leaves before
	 */
	boolean reachesCaller(long now) {
		return now + nanos(this.firstEventMillis) < this.leavesAt;
	}

	/**
	 * Returns the longest delay after which a refused caller may be asked to retry, so
	 * that the retry has most of the remaining time.
	 * @param now the time
	 * @return a third of the time until the caller leaves
	 */
	Duration longestRetryDelay(long now) {
		return Duration.ofNanos(Math.max(0, (this.leavesAt - now) / 3));
	}

	private static long nanos(double millis) {
		return (long) (millis * NANOS_PER_MILLI);
	}

}
