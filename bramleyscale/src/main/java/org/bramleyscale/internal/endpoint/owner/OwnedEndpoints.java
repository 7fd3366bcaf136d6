package org.bramleyscale.internal.endpoint.owner;

import java.time.Duration;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Predicate;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import org.bramleyscale.EndpointId;
import org.bramleyscale.VmId;
import org.bramleyscale.internal.configuration.EndpointEntry;
import org.bramleyscale.internal.endpoint.Amount;
import org.bramleyscale.internal.endpoint.EndpointSettings;
import org.bramleyscale.internal.endpoint.EngineClient;
import org.bramleyscale.internal.membership.Member;
import org.bramleyscale.internal.membership.MembershipView;
import org.bramleyscale.internal.peer.PeerNetwork;
import org.bramleyscale.internal.time.Scheduler;

/**
 * The endpoints of the shards owned here, and what must be done for them regularly.
 *
 * <p>
 * Confined to the scheduler's thread.
 */
final class OwnedEndpoints {

	/** Less than the time after which a cut-off entry uses its equal split. */
	private static final long SILENT = Duration.ofSeconds(7).toNanos();

	private final Scheduler scheduler;

	private final MembershipView membership;

	private final PeerNetwork peers;

	private final EngineClient engines;

	private final EndpointSettings settings;

	private final Predicate<OwnedShard> leaseHeld;

	private final Counter pushes;

	private final Map<VmId, Long> heardAt = new HashMap<>();

	private final Map<EndpointId, OwnedEndpoint> endpoints = new TreeMap<>(Comparator.comparing(EndpointId::value));

	OwnedEndpoints(EndpointOwner.Builder builder, Predicate<OwnedShard> leaseHeld) {
		this.scheduler = builder.scheduler;
		this.membership = builder.membership;
		this.peers = builder.peers;
		this.engines = builder.engines;
		this.settings = builder.settings;
		this.leaseHeld = leaseHeld;
		MetricRegistry metrics = builder.metrics;
		this.pushes = metrics.counter("endpoint.owner.grants.pushed");
		metrics.gauge("endpoint.owner.endpoints", () -> this.endpoints::size);
	}

	Collection<OwnedEndpoint> all() {
		return this.endpoints.values();
	}

	Optional<OwnedEndpoint> find(EndpointId endpoint) {
		return Optional.ofNullable(this.endpoints.get(endpoint));
	}

	/**
	 * Opens an endpoint of an owned shard, or takes over its newer entry.
	 * @param shard the shard
	 * @param entry the endpoint
	 */
	void open(OwnedShard shard, EndpointEntry entry) {
		OwnedEndpoint endpoint = this.endpoints.computeIfAbsent(entry.name(), (name) -> create(shard, entry));
		endpoint.update(entry);
		advance(endpoint);
	}

	void closeIf(Predicate<OwnedEndpoint> condition) {
		this.endpoints.values().removeIf(condition);
	}

	/**
	 * Notes that an entry was heard, whatever it asked for.
	 * @param vm the entry
	 */
	void heard(VmId vm) {
		this.heardAt.put(vm, this.scheduler.nanos());
	}

	/**
	 * Does what is due for one endpoint and sends the grants that should go out unasked.
	 * @param endpoint the endpoint
	 */
	void advance(OwnedEndpoint endpoint) {
		for (OwnedEndpoint.Push push : endpoint.advance()) {
			this.pushes.inc();
			this.peers.send(push.to().vm(), push.grant());
		}
	}

	/**
	 * Does what is due for all endpoints.
	 */
	void tick() {
		long now = this.scheduler.nanos();
		int used = (int) this.endpoints.values().stream().filter(OwnedEndpoint::used).count();
		Duration busy = this.settings.reportPeriod(used, this.membership.members().size());
		for (OwnedEndpoint endpoint : this.endpoints.values()) {
			count(endpoint.account());
			forgetDead(endpoint, now);
			endpoint.account().prune(now);
			endpoint.poll(endpoint.used() ? busy : this.settings.reportIdlePeriod());
			endpoint.update(endpoint.entry());
			advance(endpoint);
		}
	}

	private OwnedEndpoint create(OwnedShard shard, EndpointEntry entry) {
		Amount floor = new Amount(1, this.settings.floorKvTokens());
		EndpointAccount account = new EndpointAccount(shard.epoch(), floor, shard.settledAt());
		count(account);
		HoldBook holds = new HoldBook(entry, this.scheduler, account, this.peers::send);
		HoldKeeper keeper = new HoldKeeper(holds, this.scheduler, this.engines, () -> this.leaseHeld.test(shard));
		OwnedEndpoint endpoint = new OwnedEndpoint(entry, shard, account, keeper, this.scheduler, this.engines);
		endpoint.poll(this.settings.reportPeriod(1, 1));
		return endpoint;
	}

	private void count(EndpointAccount account) {
		int sharing = Math.max(1, this.membership.eligible().size());
		int live = (int) this.membership.members().stream().filter(OwnedEndpoints::mayHold).count();
		account.members(sharing, live);
		account.cutOff(cutOff(account));
	}

	// In a small fleet every entry makes contact every few seconds. One that doesn't is
	// cut off from this owner and after a while uses its equal split. Unless that is kept
	// for it, an owner cut off from everybody gives everything to its own entry, and the
	// endpoint gets up to twice what it takes.
	private int cutOff(EndpointAccount account) {
		List<Member> members = this.membership.eligible();
		if (!this.settings.smallFleet(members.size())) {
			return 0;
		}
		long now = this.scheduler.nanos();
		int silent = 0;
		for (Member member : members) {
			long heard = this.heardAt.computeIfAbsent(member.vm(), (vm) -> now);
			boolean accounted = account.entries().has(member.vm());
			silent += (!accounted && now - heard > SILENT) ? 1 : 0;
		}
		return silent;
	}

	private void forgetDead(OwnedEndpoint endpoint, long now) {
		for (EntryAccount entry : List.copyOf(endpoint.account().entries().all())) {
			VmId vm = entry.entry().vm();
			if (this.membership.member(vm).filter(OwnedEndpoints::mayHold).isEmpty()) {
				endpoint.account().entries().died(vm, now);
			}
		}
	}

	private static boolean mayHold(Member member) {
		return member.state() != Member.State.DEAD;
	}

}
