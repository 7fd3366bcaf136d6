package org.bramleyscale.internal.admission;

import java.time.Duration;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;

import org.bramleyscale.ClientAccountId;
import org.bramleyscale.internal.configuration.AccountRule;
import org.bramleyscale.internal.configuration.Configuration;

/**
 * This entry's token buckets, one per client account in use.
 *
 * <p>
 * The rate is the share that the account's home entry last gave. When no share is in
 * force, the rate falls to an equal part of the account's limit among the entries that
 * its address answers name: those parts add up to the limit, so entries that are cut off
 * from the home can't exceed it by themselves. Invariant: a share is never used past its
 * expiry. Not safe for use by multiple threads.
 */
final class AccountLimits {

	/** Part of the cautious rate below which no share falls. */
	private static final double SMALLEST_PART = 0.01;

	private static final long IDLE_NANOS = Duration.ofMinutes(10).toNanos();

	private final Map<ClientAccountId, Account> accounts = new HashMap<>();

	/**
	 * Sets a share.
	 * @param account the account
	 * @param tokensPerSecond the share
	 * @param until when it expires
	 */
	void share(ClientAccountId account, double tokensPerSecond, long until) {
		Account known = this.accounts.computeIfAbsent(account, (id) -> new Account());
		known.share = tokensPerSecond;
		known.shareUntil = until;
		known.shared = true;
	}

	/**
	 * The bucket of an account, at its present rate.
	 * @param rule the account's rule
	 * @param now the time
	 * @return the bucket, or null if the account has no limit
	 */
	TokenBucket bucket(AccountRule rule, long now) {
		if (rule.tokensPerSecond() <= 0) {
			return null;
		}
		Account account = this.accounts.computeIfAbsent(rule.name(), (id) -> new Account());
		account.lastUse = now;
		double rate = account.rate(rule, now);
		double burst = Math.max(1, rule.burstTokens() * rate / rule.tokensPerSecond());
		if (account.bucket == null) {
			account.bucket = new TokenBucket(rate, burst, now);
		}
		account.bucket.limit(rate, burst, now);
		return account.bucket;
	}

	/**
	 * Notes what an account asks for, whether it is admitted or not.
	 * @param id the account
	 * @param tokens the tokens
	 */
	void asked(ClientAccountId id, double tokens) {
		Account account = this.accounts.get(id);
		if (account != null) {
			account.asked += tokens;
		}
	}

	Map<ClientAccountId, Double> takeDemand() {
		Map<ClientAccountId, Double> demand = new HashMap<>();
		this.accounts.forEach((id, account) -> {
			if (account.asked > 0) {
				demand.put(id, account.asked);
				account.asked = 0;
			}
		});
		return demand;
	}

	void giveBack(ClientAccountId id, double tokens) {
		Account account = this.accounts.get(id);
		if (account != null && account.bucket != null) {
			account.bucket.giveBack(tokens);
		}
	}

	/**
	 * Forgets accounts that have no rule or were idle for long.
	 * @param configuration the rules
	 * @param now the time
	 */
	void forget(Configuration configuration, long now) {
		Iterator<Map.Entry<ClientAccountId, Account>> entries = this.accounts.entrySet().iterator();
		while (entries.hasNext()) {
			Map.Entry<ClientAccountId, Account> entry = entries.next();
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
	 * One account at this entry.
	 */
	private static final class Account {

		private TokenBucket bucket;

		private boolean shared;

		private double share;

		private long shareUntil;

		private long lastUse;

		private double asked;

		double rate(AccountRule rule, long now) {
			double cautious = (double) rule.tokensPerSecond() / Math.max(1, rule.entries());
			if (!this.shared) {
				return cautious;
			}
			double bounded = Math.min(this.share, rule.tokensPerSecond());
			boolean expired = now - this.shareUntil >= 0;
			double inForce = expired ? Math.min(bounded, cautious) : bounded;
			// A bucket that never fills could never say when to come back.
			return Math.max(inForce, cautious * SMALLEST_PART);
		}

	}

}
