package org.bramleyscale.internal.admission;

import java.util.List;

import org.bramleyscale.internal.peer.PeerMessage;

/**
 * The receiving daemon's shares of the limits of client accounts, sent by the accounts'
 * home daemon.
 *
 * @param accounts the accounts
 * @param tokensPerSecond for each account, the share
 * @param validForMillis how long the shares are valid
 */
public record AccountShares(List<String> accounts, List<Double> tokensPerSecond,
		long validForMillis) implements PeerMessage {

	public AccountShares {
		accounts = List.copyOf(accounts);
		tokensPerSecond = List.copyOf(tokensPerSecond);
		if (accounts.size() != tokensPerSecond.size()) {
			throw new IllegalArgumentException(
					accounts.size() + " accounts but " + tokensPerSecond.size() + " rates in account shares");
		}
	}

}
