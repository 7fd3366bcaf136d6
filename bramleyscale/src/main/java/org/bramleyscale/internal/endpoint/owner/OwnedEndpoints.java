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
 * The endpoints of the shards that this daemon owns, and their periodic maintenance.
 *
 * <p>
 * Confined to the scheduler's thread.
 */
final class OwnedEndpoints {

	/**
	 * An entry without contact for this time is unresponsive. Less than the time after
	 * which a partitioned entry uses its equal split.
	 */
	private static final long UNRESPONSIVE_AFTER = Duration.ofSeconds(7).toNanos();

	private final Scheduler scheduler;

	private final MembershipView membership;

	private final PeerNetwork peers;

	private final EngineClient engines;

	private final EndpointSettings settings;

	private final Predicate<OwnedShard> leaseHeld;

	private final Counter pushes;

	private final Map<VmId, Long> lastContactAt = new HashMap<>();

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
	 * Opens an endpoint of an owned shard, or updates its configuration entry.
	 * @param shard the shard
	 * @param entry the endpoint's configuration entry
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
	 * Records a message from an entry, whatever its content.
	 * @param vm the entry
	 */
	void contacted(VmId vm) {
		this.lastContactAt.put(vm, this.scheduler.nanos());
	}

	/**
	 * Performs the work that is due for one endpoint and pushes grants to entries that
	 * need a change.
	 * @param endpoint the endpoint
	 */
	void advance(OwnedEndpoint endpoint) {
		for (OwnedEndpoint.Push push : endpoint.advance()) {
			this.pushes.inc();
			this.peers.send(push.to().vm(), push.grant());
		}
	}

	/**
	 * Performs the work that is due for all endpoints.
	 */
	void tick() {
		long now = this.scheduler.nanos();
		int used = (int) this.endpoints.values().stream().filter(OwnedEndpoint::used).count();
		Duration activePeriod = this.settings.reportPeriod(used, this.membership.members().size());
		for (OwnedEndpoint endpoint : this.endpoints.values()) {
			updateMembers(endpoint.account());
			removeFailed(endpoint, now);
			endpoint.account().prune(now);
			endpoint.poll(endpoint.used() ? activePeriod : this.settings.reportIdlePeriod());
			endpoint.update(endpoint.entry());
			advance(endpoint);
		}
	}

	private OwnedEndpoint create(OwnedShard shard, EndpointEntry entry) {
		Amount floor = new Amount(1, this.settings.floorKvTokens());
		EndpointAccount account = new EndpointAccount(shard.epoch(), floor, shard.formerGrantsExpiry());
		updateMembers(account);
		HoldBook holds = new HoldBook(entry, this.scheduler, account, this.peers::send);
		HoldReconciler reconciler = new HoldReconciler(holds, this.scheduler, this.engines,
				() -> this.leaseHeld.test(shard));
		OwnedEndpoint endpoint = new OwnedEndpoint(entry, shard, account, reconciler, this.scheduler, this.engines);
		endpoint.poll(this.settings.reportPeriod(1, 1));
		return endpoint;
	}

	private void updateMembers(EndpointAccount account) {
		int sharing = Math.max(1, this.membership.eligible().size());
		int live = (int) this.membership.members().stream().filter(OwnedEndpoints::mayHold).count();
		account.members(sharing, live);
		account.unresponsiveEntries(unresponsiveEntries(account));
	}

	// In a small fleet every entry makes contact every few seconds. An entry that does
	// not is partitioned from this owner and after a while uses its equal split. Unless
	// that split is reserved for it, an owner partitioned from all other daemons grants
	// everything to its own entry, and the endpoint receives up to twice its capacity.
	private int unresponsiveEntries(EndpointAccount account) {
		List<Member> members = this.membership.eligible();
		if (!this.settings.smallFleet(members.size())) {
			return 0;
		}
		long now = this.scheduler.nanos();
		int unresponsive = 0;
		for (Member member : members) {
			long lastContact = this.lastContactAt.computeIfAbsent(member.vm(), (vm) -> now);
			boolean hasAccount = account.entries().has(member.vm());
			unresponsive += (!hasAccount && now - lastContact > UNRESPONSIVE_AFTER) ? 1 : 0;
		}
		return unresponsive;
	}

	private void removeFailed(OwnedEndpoint endpoint, long now) {
		for (EntryAccount entry : List.copyOf(endpoint.account().entries().all())) {
			VmId vm = entry.entry().vm();
			if (this.membership.member(vm).filter(OwnedEndpoints::mayHold).isEmpty()) {
				endpoint.account().entries().removeFailed(vm, now);
			}
		}
	}

	private static boolean mayHold(Member member) {
		return member.state() != Member.State.DEAD;
	}

}
