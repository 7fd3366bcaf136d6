package org.bramleyscale.internal.admission;

import java.util.List;

import org.bramleyscale.internal.peer.PeerMessage;

/**
 * The recent demand of client accounts at the sending daemon, sent to the accounts' home
 * daemon.
 *
 * @param accounts the accounts
 * @param tokensPerSecond for each account, the tokens requested per second
 */
public record AccountDemand(List<String> accounts, List<Double> tokensPerSecond) implements PeerMessage {

	public AccountDemand {
		accounts = List.copyOf(accounts);
		tokensPerSecond = List.copyOf(tokensPerSecond);
		if (accounts.size() != tokensPerSecond.size()) {
			throw new IllegalArgumentException(
					accounts.size() + " accounts but " + tokensPerSecond.size() + " rates in an account demand");
		}
	}

}
