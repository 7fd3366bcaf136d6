package org.bramleyscale.internal.admission;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.bramleyscale.ClientAccountId;
import org.bramleyscale.Incarnation;
import org.bramleyscale.VmId;
import org.bramleyscale.internal.address.AddressAnswer;
import org.bramleyscale.internal.address.AddressBook;
import org.bramleyscale.internal.configuration.AccountRule;
import org.bramleyscale.internal.configuration.ConfigurationSource;
import org.bramleyscale.internal.membership.MembershipView;
import org.bramleyscale.internal.peer.PeerNetwork;
import org.bramleyscale.internal.time.Scheduler;

/**
 * Splits client accounts' limits among the entries that their callers use.
 *
 * <p>
 * The home entry of an account, the first that its address answers name, hears from each
 * entry what the account asks there and answers with a share that expires. Invariant: the
 * shares one home has in force for an account never add up to more than its limit plus
 * one round's change. An entry that is cut off falls back to an equal part, so a fleet
 * cut in two can exceed a limit by at most the other side's equal parts. Confined to the
 * scheduler's thread.
 */
public final class LimitShares {

	private static final Duration ROUND = Duration.ofSeconds(2);

	private static final Duration VALID_FOR = ROUND.multipliedBy(3);

	/** Weight of the newest round in the demand, against flapping shares. */
	private static final double DEMAND_GAIN = 0.5;

	/** Demand below this is forgotten. */
	private static final double SMALLEST_DEMAND = 0.5;

	private final Scheduler scheduler;

	private final MembershipView membership;

	private final AddressBook addresses;

	private final ConfigurationSource configuration;

	private final PeerNetwork network;

	private final FairAdmission admission;

	/** What this entry was asked lately, in tokens a second. */
	private final Map<ClientAccountId, Double> own = new TreeMap<>((a, b) -> a.value().compareTo(b.value()));

	/** As home entry: what each entry was asked, by account. */
	private final Map<ClientAccountId, Map<VmId, Demand>> reported = new HashMap<>();

	public LimitShares(Scheduler scheduler, MembershipView membership, AddressBook addresses,
			ConfigurationSource configuration, PeerNetwork network, FairAdmission admission) {
		this.scheduler = scheduler;
		this.membership = membership;
		this.addresses = addresses;
		this.configuration = configuration;
		this.network = network;
		this.admission = admission;
		network.listen(AccountDemand.class, this::received);
		network.listen(AccountShares.class, this::received);
		scheduler.repeat(ROUND, this::round);
	}

	private void round() {
		forgetOld();
		updateOwnDemand();
		Map<VmId, Rates> demands = new HashMap<>();
		for (Map.Entry<ClientAccountId, Double> entry : this.own.entrySet()) {
			VmId home = home(entry.getKey());
			if (home != null) {
				demands.computeIfAbsent(home, (vm) -> new Rates()).add(entry.getKey().value(), entry.getValue());
			}
		}
		demands.forEach(this::tell);
	}

	private void updateOwnDemand() {
		Map<ClientAccountId, Double> asked = this.admission.takeDemand();
		double seconds = ROUND.toNanos() / 1e9;
		asked.keySet().forEach((account) -> this.own.putIfAbsent(account, 0.0));
		this.own.replaceAll((account, before) -> {
			double now = asked.getOrDefault(account, 0.0) / seconds;
			return before + DEMAND_GAIN * (now - before);
		});
		this.own.values().removeIf((demand) -> demand < SMALLEST_DEMAND);
	}

	private void tell(VmId home, Rates rates) {
		AccountDemand demand = new AccountDemand(rates.accounts, rates.tokensPerSecond);
		if (home.equals(self())) {
			received(this.membership.self(), demand);
		}
		else {
			this.network.send(home, demand);
		}
	}

	private void received(Incarnation from, AccountDemand demand) {
		Rates rates = new Rates();
		for (int i = 0; i < demand.accounts().size(); i++) {
			ClientAccountId account = new ClientAccountId(demand.accounts().get(i));
			AccountRule rule = this.configuration.current().account(account).orElse(null);
			if (rule != null && rule.tokensPerSecond() > 0) {
				rates.add(account.value(), share(rule, from.vm(), demand.tokensPerSecond().get(i)));
			}
		}
		AccountShares shares = new AccountShares(rates.accounts, rates.tokensPerSecond, VALID_FOR.toMillis());
		if (from.vm().equals(self())) {
			received(from, shares);
		}
		else {
			this.network.send(from.vm(), shares);
		}
	}

	private void received(Incarnation from, AccountShares shares) {
		Duration validFor = Duration.ofMillis(shares.validForMillis());
		for (int i = 0; i < shares.accounts().size(); i++) {
			this.admission.share(new ClientAccountId(shares.accounts().get(i)), shares.tokensPerSecond().get(i),
					validFor);
		}
	}

	private double share(AccountRule rule, VmId entry, double demand) {
		Map<VmId, Demand> demands = this.reported.computeIfAbsent(rule.name(),
				(account) -> new TreeMap<>((a, b) -> a.value().compareTo(b.value())));
		demands.put(entry, new Demand(demand, this.scheduler.nanos()));
		double[] asked = demands.values().stream().mapToDouble(Demand::tokensPerSecond).toArray();
		double[] shares = LimitSplit.split(rule.tokensPerSecond(), asked);
		return shares[new ArrayList<>(demands.keySet()).indexOf(entry)];
	}

	private void forgetOld() {
		long oldest = this.scheduler.nanos() - VALID_FOR.toNanos();
		for (Map<VmId, Demand> demands : this.reported.values()) {
			demands.values().removeIf((demand) -> demand.heard() < oldest);
		}
		this.reported.values().removeIf(Map::isEmpty);
	}

	private VmId home(ClientAccountId account) {
		List<AddressAnswer.Entry> entries = this.addresses.addresses(account).entries();
		return entries.isEmpty() ? null : Incarnation.parse(entries.get(0).requestIdPrefix()).vm();
	}

	private VmId self() {
		return this.membership.self().vm();
	}

	/**
	 * What one entry reported.
	 *
	 * @param tokensPerSecond the demand
	 * @param heard when it was heard
	 */
	private record Demand(double tokensPerSecond, long heard) {
	}

	/**
	 * Accounts and rates collected for one message.
	 */
	private static final class Rates {

		private final List<String> accounts = new ArrayList<>();

		private final List<Double> tokensPerSecond = new ArrayList<>();

		void add(String account, double rate) {
			this.accounts.add(account);
			this.tokensPerSecond.add(rate);
		}

	}

}
