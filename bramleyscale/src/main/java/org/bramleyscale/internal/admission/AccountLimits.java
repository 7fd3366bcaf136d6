package org.bramleyscale.internal.admission;

import java.time.Duration;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;

import org.bramleyscale.ClientAccountId;
import org.bramleyscale.internal.configuration.AccountRule;
import org.bramleyscale.internal.configuration.Configuration;

/**
 * The token buckets of this daemon, one per active client account with a limit.
 *
 * <p>
 * The rate is the share that the account's home daemon last assigned. When no share is
 * valid, the rate falls back to at most an equal share of the account's limit among the
 * daemons in its address answers. These add up to the limit, so daemons that are
 * disconnected from the home daemon can't exceed it by themselves. Invariant: a share is
 * never used past its expiry. Not safe for use by multiple threads.
 */
final class AccountLimits {

	/** Lower bound of the rate, as a fraction of the equal share. */
	private static final double MIN_RATE_FRACTION = 0.01;

	private static final long IDLE_NANOS = Duration.ofMinutes(10).toNanos();

	private final Map<ClientAccountId, AccountState> accounts = new HashMap<>();

	/**
	 * Sets the share of an account.
	 * @param account the account
	 * @param tokensPerSecond the share
	 * @param until when it expires
	 */
	void setShare(ClientAccountId account, double tokensPerSecond, long until) {
		AccountState known = this.accounts.computeIfAbsent(account, (id) -> new AccountState());
		known.share = tokensPerSecond;
		known.shareUntil = until;
		known.shared = true;
	}

	/**
	 * Returns the bucket of an account, updated to its current rate.
	 * @param rule the account's rule
	 * @param now the time
	 * @return the bucket, or null if the account has no limit
	 */
	TokenBucket bucket(AccountRule rule, long now) {
		if (rule.tokensPerSecond() <= 0) {
			return null;
		}
		AccountState account = this.accounts.computeIfAbsent(rule.name(), (id) -> new AccountState());
		account.lastUse = now;
		double rate = account.rate(rule, now);
		double burst = Math.max(1, rule.burstTokens() * rate / rule.tokensPerSecond());
		if (account.bucket == null) {
			account.bucket = new TokenBucket(rate, burst, now);
		}
		account.bucket.setLimit(rate, burst, now);
		return account.bucket;
	}

	/**
	 * Adds a request to an account's demand, whether it is admitted or not.
	 * @param id the account
	 * @param tokens the tokens
	 */
	void recordDemand(ClientAccountId id, double tokens) {
		AccountState account = this.accounts.get(id);
		if (account != null) {
			account.demand += tokens;
		}
	}

	Map<ClientAccountId, Double> takeDemand() {
		Map<ClientAccountId, Double> demand = new HashMap<>();
		this.accounts.forEach((id, account) -> {
			if (account.demand > 0) {
				demand.put(id, account.demand);
				account.demand = 0;
			}
		});
		return demand;
	}

	void refund(ClientAccountId id, double tokens) {
		AccountState account = this.accounts.get(id);
		if (account != null && account.bucket != null) {
			account.bucket.refund(tokens);
		}
	}

	/**
	 * Removes accounts that have no rule or have been idle for {@link #IDLE_NANOS}.
	 * @param configuration the configuration with the rules
	 * @param now the time
	 */
	void removeUnused(Configuration configuration, long now) {
		Iterator<Map.Entry<ClientAccountId, AccountState>> entries = this.accounts.entrySet().iterator();
		while (entries.hasNext()) {
			Map.Entry<ClientAccountId, AccountState> entry = entries.next();
			boolean idle = now - entry.getValue().lastUse > IDLE_NANOS;
			if (idle || configuration.account(entry.getKey()).isEmpty()) {
				entries.remove();
			}
		}
	}

	int size() {
		return this.accounts.size();
	}

	/**
	 * The state of one account at this daemon.
	 */
	private static final class AccountState {

		private TokenBucket bucket;

		private boolean shared;

		private double share;

		private long shareUntil;

		private long lastUse;

		private double demand;

		double rate(AccountRule rule, long now) {
			double equalShare = (double) rule.tokensPerSecond() / Math.max(1, rule.entries());
			if (!this.shared) {
				return equalShare;
			}
			double bounded = Math.min(this.share, rule.tokensPerSecond());
			boolean expired = now - this.shareUntil >= 0;
			double inForce = expired ? Math.min(bounded, equalShare) : bounded;
			// With a rate of 0 there would be no time after which to retry.
			return Math.max(inForce, equalShare * MIN_RATE_FRACTION);
		}

	}

}
