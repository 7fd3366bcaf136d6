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
import org.bramleyscale.internal.address.AddressResolver;
import org.bramleyscale.internal.configuration.AccountRule;
import org.bramleyscale.internal.configuration.ConfigurationSource;
import org.bramleyscale.internal.membership.MembershipView;
import org.bramleyscale.internal.peer.PeerNetwork;
import org.bramleyscale.internal.time.Scheduler;

/**
 * Splits the limits of client accounts among the daemons that their callers use.
 *
 * <p>
 * Each daemon reports an account's demand to the account's home daemon, which is the
 * first daemon in its address answers, and receives a share that expires. Invariant: the
 * valid shares of an account that one home daemon assigned never add up to more than the
 * limit plus the change of one interval. A partitioned daemon falls back to an equal
 * share, so during a network partition an account can exceed its limit by at most the
 * equal shares of the daemons on the other side. Confined to the scheduler's thread.
 */
public final class LimitShareExchange {

	private static final Duration INTERVAL = Duration.ofSeconds(2);

	private static final Duration SHARE_LIFETIME = INTERVAL.multipliedBy(3);

	/**
	 * Weight of the latest interval in the smoothed demand; smoothing keeps shares
	 * stable.
	 */
	private static final double DEMAND_GAIN = 0.5;

	/** Demand below this is dropped. */
	private static final double MIN_DEMAND = 0.5;

	private final Scheduler scheduler;

	private final MembershipView membership;

	private final AddressResolver addresses;

	private final ConfigurationSource configuration;

	private final PeerNetwork network;

	private final FairAdmission admission;

	/** The smoothed demand at this daemon, in tokens per second. */
	private final Map<ClientAccountId, Double> ownDemand = new TreeMap<>((a, b) -> a.value().compareTo(b.value()));

	/** As home daemon: the demand reported by each daemon, by account. */
	private final Map<ClientAccountId, Map<VmId, ReportedDemand>> reported = new HashMap<>();

	public LimitShareExchange(Scheduler scheduler, MembershipView membership, AddressResolver addresses,
			ConfigurationSource configuration, PeerNetwork network, FairAdmission admission) {
		this.scheduler = scheduler;
		this.membership = membership;
		this.addresses = addresses;
		this.configuration = configuration;
		this.network = network;
		this.admission = admission;
		network.listen(AccountDemand.class, this::received);
		network.listen(AccountShares.class, this::received);
		scheduler.repeat(INTERVAL, this::reportDemand);
	}

	private void reportDemand() {
		removeExpired();
		updateOwnDemand();
		Map<VmId, AccountRates> demands = new HashMap<>();
		for (Map.Entry<ClientAccountId, Double> entry : this.ownDemand.entrySet()) {
			VmId home = homeDaemon(entry.getKey());
			if (home != null) {
				demands.computeIfAbsent(home, (vm) -> new AccountRates()).add(entry.getKey().value(), entry.getValue());
			}
		}
		demands.forEach(this::send);
	}

	private void updateOwnDemand() {
		Map<ClientAccountId, Double> requested = this.admission.takeDemand();
		double seconds = INTERVAL.toNanos() / 1e9;
		requested.keySet().forEach((account) -> this.ownDemand.putIfAbsent(account, 0.0));
		this.ownDemand.replaceAll((account, previous) -> {
			double current = requested.getOrDefault(account, 0.0) / seconds;
			return previous + DEMAND_GAIN * (current - previous);
		});
		this.ownDemand.values().removeIf((demand) -> demand < MIN_DEMAND);
	}

	private void send(VmId home, AccountRates rates) {
		AccountDemand demand = new AccountDemand(rates.accounts, rates.tokensPerSecond);
		if (home.equals(self())) {
			received(this.membership.self(), demand);
		}
		else {
			this.network.send(home, demand);
		}
	}

	private void received(Incarnation from, AccountDemand demand) {
		AccountRates rates = new AccountRates();
		for (int i = 0; i < demand.accounts().size(); i++) {
			ClientAccountId account = new ClientAccountId(demand.accounts().get(i));
			AccountRule rule = this.configuration.current().account(account).orElse(null);
			if (rule != null && rule.tokensPerSecond() > 0) {
				rates.add(account.value(), share(rule, from.vm(), demand.tokensPerSecond().get(i)));
			}
		}
		AccountShares shares = new AccountShares(rates.accounts, rates.tokensPerSecond, SHARE_LIFETIME.toMillis());
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
			this.admission.setShare(new ClientAccountId(shares.accounts().get(i)), shares.tokensPerSecond().get(i),
					validFor);
		}
	}

	private double share(AccountRule rule, VmId daemon, double demand) {
		Map<VmId, ReportedDemand> demands = this.reported.computeIfAbsent(rule.name(),
				(account) -> new TreeMap<>((a, b) -> a.value().compareTo(b.value())));
		demands.put(daemon, new ReportedDemand(demand, this.scheduler.nanos()));
		double[] daemonDemands = demands.values().stream().mapToDouble(ReportedDemand::tokensPerSecond).toArray();
		double[] shares = LimitSplit.split(rule.tokensPerSecond(), daemonDemands);
		return shares[new ArrayList<>(demands.keySet()).indexOf(daemon)];
	}

	private void removeExpired() {
		long oldest = this.scheduler.nanos() - SHARE_LIFETIME.toNanos();
		for (Map<VmId, ReportedDemand> demands : this.reported.values()) {
			demands.values().removeIf((demand) -> demand.receivedAt() < oldest);
		}
		this.reported.values().removeIf(Map::isEmpty);
	}

	private VmId homeDaemon(ClientAccountId account) {
		List<AddressAnswer.Entry> entries = this.addresses.addresses(account).entries();
		return entries.isEmpty() ? null : Incarnation.parse(entries.get(0).requestIdPrefix()).vm();
	}

	private VmId self() {
		return this.membership.self().vm();
	}

	/**
	 * The demand that one daemon reported.
	 *
	 * @param tokensPerSecond the demand
	 * @param receivedAt when the report was received
	 */
	private record ReportedDemand(double tokensPerSecond, long receivedAt) {
	}

	/**
	 * Accounts and rates collected for one message.
	 */
	private static final class AccountRates {

		private final List<String> accounts = new ArrayList<>();

		private final List<Double> tokensPerSecond = new ArrayList<>();

		void add(String account, double rate) {
			this.accounts.add(account);
			this.tokensPerSecond.add(rate);
		}

	}

}
