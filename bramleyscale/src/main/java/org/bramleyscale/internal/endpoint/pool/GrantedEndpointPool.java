package org.bramleyscale.internal.endpoint.pool;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import org.bramleyscale.EndpointId;
import org.bramleyscale.Incarnation;
import org.bramleyscale.ModelName;
import org.bramleyscale.ServiceName;
import org.bramleyscale.VmId;
import org.bramleyscale.internal.configuration.Configuration;
import org.bramleyscale.internal.configuration.ConfigurationSource;
import org.bramleyscale.internal.configuration.EndpointEntry;
import org.bramleyscale.internal.endpoint.Amount;
import org.bramleyscale.internal.endpoint.EndpointPool;
import org.bramleyscale.internal.endpoint.EndpointSettings;
import org.bramleyscale.internal.endpoint.Grant;
import org.bramleyscale.internal.endpoint.GrantItem;
import org.bramleyscale.internal.endpoint.KnownEndpoints;
import org.bramleyscale.internal.endpoint.LoadReport;
import org.bramleyscale.internal.endpoint.Observation;
import org.bramleyscale.internal.endpoint.OwnerAnnounced;
import org.bramleyscale.internal.endpoint.Permit;
import org.bramleyscale.internal.endpoint.Redirect;
import org.bramleyscale.internal.endpoint.Shard;
import org.bramleyscale.internal.endpoint.ShardMap;
import org.bramleyscale.internal.membership.MembershipView;
import org.bramleyscale.internal.peer.PeerNetwork;
import org.bramleyscale.internal.routing.Candidate;
import org.bramleyscale.internal.status.StateDump;
import org.bramleyscale.internal.time.Cancellable;
import org.bramleyscale.internal.time.Scheduler;

/**
 * An endpoint pool that works within the grants of the endpoints' owners.
 *
 * <p>
 * Invariants: permits never exceed the share in force when they are given; a grant's
 * expiry is counted from the sending of the demand it answers, so it ends here before it
 * ends in the owner's account; grants of an older epoch change nothing. Confined to the
 * scheduler's thread.
 */
public final class GrantedEndpointPool implements EndpointPool, KnownEndpoints, StateDump {

	private static final Duration TICK = Duration.ofMillis(250);

	/** A request too large for any grant is asked for at so many endpoints. */
	private static final int ASK_AT = 2;

	private final Scheduler scheduler;

	private final ConfigurationSource configuration;

	private final MembershipView membership;

	private final PeerNetwork peers;

	private final EndpointSettings settings;

	private final Function<EndpointId, EndpointLearner> learners;

	private final Subsets subsets;

	private final DemandSender demands;

	private final Counter ignoredGrants;

	private final Counter refusedPermits;

	private final Map<EndpointId, EndpointState> states = new LinkedHashMap<>();

	private final List<Runnable> roomListeners = new ArrayList<>();

	private ShardMap shards;

	private Cancellable ticking;

	private boolean stopped;

	private boolean awaiting;

	private GrantedEndpointPool(Builder builder) {
		this.scheduler = builder.scheduler;
		this.configuration = builder.configuration;
		this.membership = builder.membership;
		this.peers = builder.peers;
		this.settings = builder.settings;
		this.learners = builder.learners;
		VmId self = this.membership.self().vm();
		this.subsets = new Subsets(this.settings, self, this.membership.dataCentre());
		MetricRegistry metrics = builder.metrics;
		this.demands = new DemandSender(this.scheduler, this.peers, this.settings, this::ownerOf,
				metrics.counter("endpoint.pool.demands"));
		this.ignoredGrants = metrics.counter("endpoint.pool.grants.ignored");
		this.refusedPermits = metrics.counter("endpoint.pool.permits.refused");
		metrics.gauge("endpoint.pool.endpoints", () -> this.states::size);
	}

	public static Builder builder() {
		return new Builder();
	}

	/**
	 * Begins to follow the configuration and to send demands.
	 */
	public void start() {
		this.peers.listen(Grant.class, this::granted);
		this.peers.listen(Redirect.class, this::redirected);
		this.peers.listen(OwnerAnnounced.class, this::announced);
		this.configuration.onChange((version) -> refresh());
		this.membership.onChange(this::remap);
		this.ticking = this.scheduler.repeat(TICK, this::tick);
		refresh();
	}

	public void stop() {
		this.stopped = true;
		this.ticking.cancel();
	}

	@Override
	public List<Candidate> candidates(ServiceName service, ModelName model) {
		long now = this.scheduler.nanos();
		int sharing = sharing();
		List<Candidate> healthy = new ArrayList<>();
		List<Candidate> ejected = new ArrayList<>();
		for (EndpointEntry entry : this.subsets.use(service, now)) {
			EndpointState state = contact(entry);
			touch(state, now);
			if (state.leaving() || !state.offers(model)) {
				continue;
			}
			List<Candidate> list = state.learner().ejected(now) ? ejected : healthy;
			list.add(state.candidate(now, sharing));
		}
		// With every endpoint ejected, a late answer is still better than none.
		return healthy.isEmpty() ? ejected : healthy;
	}

	@Override
	public Optional<Permit> acquire(EndpointId endpoint, long kvTokens, int promptTokens) {
		if (kvTokens < 0) {
			throw new IllegalArgumentException("KV tokens must not be negative, were " + kvTokens);
		}
		EndpointState state = this.states.get(endpoint);
		if (state == null || state.leaving()) {
			return Optional.empty();
		}
		long now = this.scheduler.nanos();
		touch(state, now);
		Amount amount = new Amount(1, kvTokens);
		if (!amount.within(state.left(now, sharing()))) {
			this.refusedPermits.inc();
			state.unmet().mention(kvTokens, now);
			this.demands.soon(state);
			return Optional.empty();
		}
		state.unmet().clear();
		return Optional.of(new EndpointPermit(state, amount, promptTokens, now, this::room));
	}

	@Override
	public void wanted(ServiceName service, ModelName model, long kvTokens) {
		long now = this.scheduler.nanos();
		List<EndpointState> able = new ArrayList<>();
		for (EndpointEntry entry : this.subsets.use(service, now)) {
			EndpointState state = contact(entry);
			boolean usable = !state.leaving() && state.offers(model) && !state.learner().ejected(now);
			if (usable && state.couldEverHold(kvTokens)) {
				able.add(state);
			}
		}
		able.sort(EndpointState.byRoom(now, sharing()));
		for (EndpointState state : able.subList(0, Math.min(ASK_AT, able.size()))) {
			state.touch(now);
			state.unmet().mention(kvTokens, now);
			this.demands.soon(state);
		}
	}

	@Override
	public void observed(EndpointId endpoint, Observation observation) {
		EndpointState state = this.states.get(endpoint);
		if (state != null) {
			state.learner().observed(observation, this.scheduler.nanos());
		}
	}

	@Override
	public void onRoom(Runnable listener) {
		this.roomListeners.add(listener);
	}

	@Override
	public Optional<LoadReport> report(EndpointId endpoint) {
		return Optional.ofNullable(this.states.get(endpoint)).map(EndpointState::report);
	}

	@Override
	public List<EndpointEntry> usable(ServiceName service, ModelName model) {
		long now = this.scheduler.nanos();
		List<EndpointEntry> result = new ArrayList<>();
		for (EndpointEntry entry : this.subsets.use(service, now)) {
			EndpointState state = contact(entry);
			if (!state.leaving() && state.offers(model) && !state.learner().ejected(now)) {
				result.add(entry);
			}
		}
		return result;
	}

	@Override
	public Optional<VmId> owner(EndpointId endpoint) {
		return Optional.ofNullable(this.states.get(endpoint)).flatMap(this::ownerOf);
	}

	@Override
	public String name() {
		return "endpoint-pool";
	}

	@Override
	public Object dump() {
		return PoolDump.of(this.states.values(), this.demands.periodMillis(), this.scheduler.nanos(), sharing());
	}

	private void refresh() {
		if (this.stopped) {
			return;
		}
		Configuration current = this.configuration.current();
		this.subsets.update(current, this.membership.members().size());
		remap();
		List<EndpointState> news = new ArrayList<>();
		for (EndpointState state : this.states.values()) {
			boolean left = state.leaving();
			Optional<EndpointEntry> entry = current.endpoint(state.entry().name());
			entry.ifPresent((newer) -> state.update(newer, this.shards.shard(newer)));
			if (!left && state.leaving()) {
				news.add(state);
			}
		}
		this.states.values()
			.removeIf((state) -> state.use().inUse().slots() == 0 && current.endpoint(state.entry().name()).isEmpty());
		this.subsets.contacts(this.scheduler.nanos()).forEach(this::contact);
		// The owner's configuration may be older; it then tells the other entries.
		this.demands.send(news);
		room();
	}

	private void remap() {
		this.shards = new ShardMap(this.configuration.current().register(), this.membership.eligible());
	}

	private EndpointState contact(EndpointEntry entry) {
		EndpointState state = this.states.get(entry.name());
		if (state == null) {
			Amount floor = new Amount(1, this.settings.floorKvTokens());
			state = new EndpointState(entry, this.shards.shard(entry), this.learners.apply(entry.name()), floor);
			this.states.put(entry.name(), state);
			this.demands.soon(state);
		}
		return state;
	}

	private void touch(EndpointState state, long now) {
		boolean wasActive = state.active(now);
		state.touch(now);
		if (!wasActive) {
			this.demands.soon(state);
			awaitFirstAnswers();
		}
	}

	private void awaitFirstAnswers() {
		if (!this.awaiting) {
			this.awaiting = true;
			this.scheduler.schedule(HeldShare.FIRST_ANSWER.plusMillis(1), () -> {
				this.awaiting = false;
				room();
			});
		}
	}

	private int sharing() {
		return Math.max(1, this.membership.eligible().size());
	}

	private Optional<VmId> ownerOf(EndpointState state) {
		Optional<VmId> known = state.knownOwner().filter((vm) -> this.membership.member(vm).isPresent());
		return known.isPresent() ? known : this.shards.owner(state.shard());
	}

	private void granted(Incarnation from, Grant grant) {
		long now = this.scheduler.nanos();
		long lifetime = grant.lifetimeMillis() * 1_000_000L;
		long expiresAt = grant.demandSentMillis() * 1_000_000L + lifetime;
		boolean more = false;
		for (GrantItem item : grant.items()) {
			EndpointState state = this.states.get(item.endpoint());
			if (state == null) {
				continue;
			}
			Amount before = state.share(now, sharing());
			if (!state.apply(item, from.vm(), expiresAt, lifetime, now)) {
				this.ignoredGrants.inc();
				continue;
			}
			Amount after = state.share(now, sharing());
			more |= !after.within(before);
			if (!before.within(after)) {
				// Another entry waits for what was taken back; it gets it once this
				// entry has confirmed the smaller grant.
				this.demands.soon(state);
			}
		}
		if (more) {
			room();
		}
	}

	private void redirected(Incarnation from, Redirect redirect) {
		EndpointState state = this.states.get(redirect.endpoint());
		if (state != null && redirect.epoch() >= state.held().epoch()) {
			state.knownOwner(redirect.owner());
			this.demands.soon(state);
		}
	}

	private void announced(Incarnation from, OwnerAnnounced announcement) {
		Shard shard = Shard.of(announcement.dataCentre(), announcement.shard());
		for (EndpointState state : this.states.values()) {
			if (state.shard().equals(shard) && announcement.epoch() > state.held().epoch()) {
				state.knownOwner(from.vm());
				this.demands.soon(state);
			}
		}
	}

	private void room() {
		this.roomListeners.forEach(Runnable::run);
	}

	private void tick() {
		long now = this.scheduler.nanos();
		Set<EndpointEntry> contacts = this.subsets.contacts(now);
		contacts.forEach(this::contact);
		int active = (int) this.states.values().stream().filter((state) -> state.active(now)).count();
		this.demands.pairs(active, this.membership.members().size());
		List<EndpointState> due = new ArrayList<>();
		for (EndpointState state : this.states.values()) {
			if (due(state, contacts, now)) {
				due.add(state);
			}
		}
		this.demands.send(due);
	}

	private boolean due(EndpointState state, Set<EndpointEntry> contacts, long now) {
		long since = now - state.held().demandedAt();
		if (state.active(now)) {
			return since >= this.demands.periodMillis() * 1_000_000L - TICK.toNanos() / 2;
		}
		if (!state.resigned()) {
			state.held().resign();
			return true;
		}
		return contacts.contains(state.entry()) && since >= this.settings.idlePeriod().toNanos();
	}

	/**
	 * Collects what the pool needs; not safe for use by multiple threads.
	 */
	public static final class Builder {

		private Scheduler scheduler;

		private ConfigurationSource configuration;

		private MembershipView membership;

		private PeerNetwork peers;

		private MetricRegistry metrics = new MetricRegistry();

		private EndpointSettings settings = EndpointSettings.defaults();

		private Function<EndpointId, EndpointLearner> learners = (endpoint) -> new AverageLearner();

		private Builder() {
		}

		public Builder scheduler(Scheduler value) {
			this.scheduler = value;
			return this;
		}

		public Builder configuration(ConfigurationSource value) {
			this.configuration = value;
			return this;
		}

		public Builder membership(MembershipView value) {
			this.membership = value;
			return this;
		}

		/**
		 * Sets the peers; the network must also deliver to this daemon itself.
		 * @param value the network
		 * @return this builder
		 */
		public Builder peers(PeerNetwork value) {
			this.peers = value;
			return this;
		}

		public Builder metrics(MetricRegistry value) {
			this.metrics = value;
			return this;
		}

		public Builder settings(EndpointSettings value) {
			this.settings = value;
			return this;
		}

		/**
		 * Sets what learns of each endpoint's speed and health.
		 * @param value makes the learner of one endpoint
		 * @return this builder
		 */
		public Builder learners(Function<EndpointId, EndpointLearner> value) {
			this.learners = value;
			return this;
		}

		public GrantedEndpointPool build() {
			return new GrantedEndpointPool(this);
		}

	}

}
