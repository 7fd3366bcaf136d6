package org.bramleyscale.internal.endpoint.pool;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Function;

import org.bramleyscale.EndpointId;
import org.bramleyscale.ServiceName;
import org.bramleyscale.VmId;
import org.bramleyscale.internal.configuration.Configuration;
import org.bramleyscale.internal.configuration.ConfigurationSource;
import org.bramleyscale.internal.configuration.EndpointEntry;
import org.bramleyscale.internal.endpoint.Amount;
import org.bramleyscale.internal.endpoint.EndpointSettings;
import org.bramleyscale.internal.endpoint.ShardMap;
import org.bramleyscale.internal.membership.MembershipView;
import org.bramleyscale.internal.time.Clock;

/**
 * The endpoints that this entry knows, with their shards and owners.
 *
 * <p>
 * Confined to the scheduler's thread.
 */
final class EndpointDirectory {

	private final Clock clock;

	private final ConfigurationSource configuration;

	private final MembershipView membership;

	private final EndpointSettings settings;

	private final Function<EndpointId, EndpointLearner> learners;

	private final Consumer<EndpointState> onAdded;

	private final EndpointSubsets subsets;

	private final Map<EndpointId, EndpointState> states = new LinkedHashMap<>();

	private ShardMap shards;

	/**
	 * Creates a directory without endpoints.
	 * @param clock the time
	 * @param configuration the configuration
	 * @param membership the daemons
	 * @param settings the settings
	 * @param learners creates the learner of an endpoint
	 * @param onAdded called with each endpoint that is added
	 */
	EndpointDirectory(Clock clock, ConfigurationSource configuration, MembershipView membership,
			EndpointSettings settings, Function<EndpointId, EndpointLearner> learners,
			Consumer<EndpointState> onAdded) {
		this.clock = clock;
		this.configuration = configuration;
		this.membership = membership;
		this.settings = settings;
		this.learners = learners;
		this.onAdded = onAdded;
		this.subsets = new EndpointSubsets(settings, membership.self().vm(), membership.dataCentre());
		remap();
	}

	Collection<EndpointState> all() {
		return this.states.values();
	}

	Optional<EndpointState> find(EndpointId endpoint) {
		return Optional.ofNullable(this.states.get(endpoint));
	}

	/**
	 * Returns the endpoints of a service that this entry uses, and marks the service as
	 * in use.
	 * @param service the service
	 * @return the endpoints in a stable order
	 */
	List<EndpointState> use(ServiceName service) {
		List<EndpointState> result = new ArrayList<>();
		for (EndpointEntry entry : this.subsets.use(service, this.clock.nanos())) {
			result.add(findOrAdd(entry));
		}
		return result;
	}

	/**
	 * Adds and returns the endpoints to stay in contact with while they are idle.
	 * @return the endpoints
	 */
	Set<EndpointEntry> contacts() {
		Set<EndpointEntry> contacts = this.subsets.contacts(this.clock.nanos());
		contacts.forEach(this::findOrAdd);
		return contacts;
	}

	/**
	 * Applies the current configuration.
	 * @return the endpoints that it newly marks as leaving
	 */
	List<EndpointState> refresh() {
		Configuration current = this.configuration.current();
		this.subsets.update(current, this.membership.members().size());
		remap();
		List<EndpointState> leaving = new ArrayList<>();
		for (EndpointState state : this.states.values()) {
			boolean wasLeaving = state.leaving();
			Optional<EndpointEntry> entry = current.endpoint(state.entry().name());
			entry.ifPresent((latest) -> state.update(latest, this.shards.shard(latest)));
			if (!wasLeaving && state.leaving()) {
				leaving.add(state);
			}
		}
		this.states.values().removeIf((state) -> !state.inUse() && current.endpoint(state.entry().name()).isEmpty());
		contacts();
		return leaving;
	}

	void remap() {
		this.shards = new ShardMap(this.configuration.current().register(), this.membership.eligible());
	}

	/**
	 * Returns how many entries may use an endpoint.
	 * @return the number, at least 1
	 */
	int sharing() {
		return Math.max(1, this.membership.eligible().size());
	}

	/**
	 * Returns the recipient of the demands for an endpoint: the owner last announced or
	 * observed, or else the daemon that should own it.
	 * @param state the endpoint
	 * @return the daemon, or empty if there is none
	 */
	Optional<VmId> ownerOf(EndpointState state) {
		Optional<VmId> known = state.knownOwner().filter((vm) -> this.membership.member(vm).isPresent());
		return known.isPresent() ? known : this.shards.owner(state.shard());
	}

	private EndpointState findOrAdd(EndpointEntry entry) {
		EndpointState known = this.states.get(entry.name());
		if (known != null) {
			return known;
		}
		Amount floor = new Amount(1, this.settings.floorKvTokens());
		EndpointState state = new EndpointState(entry, this.shards.shard(entry), this.learners.apply(entry.name()),
				floor);
		this.states.put(entry.name(), state);
		this.onAdded.accept(state);
		return state;
	}

}
