package org.bramleyscale.internal.admission;

import java.util.List;

import org.bramleyscale.internal.peer.PeerMessage;

/**
 * What client accounts lately asked of the sending entry, told to their home entry.
 *
 * @param accounts the accounts
 * @param tokensPerSecond for each account, the tokens a second asked for
 */
public record AccountDemand(List<String> accounts, List<Double> tokensPerSecond) implements PeerMessage {

	public AccountDemand {
		accounts = List.copyOf(accounts);
		tokensPerSecond = List.copyOf(tokensPerSecond);
		if (accounts.size() != tokensPerSecond.size()) {
			throw new IllegalArgumentException(
					accounts.size() + " accounts but " + tokensPerSecond.size() + " rates in a demand");
		}
	}

}
