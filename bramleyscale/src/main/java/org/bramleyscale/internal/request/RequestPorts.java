package org.bramleyscale.internal.request;

import java.util.Objects;
import java.util.random.RandomGenerator;

import org.bramleyscale.internal.admission.Admission;
import org.bramleyscale.internal.admission.TokenEstimator;
import org.bramleyscale.internal.configuration.ConfigurationSource;
import org.bramleyscale.internal.endpoint.EndpointPool;
import org.bramleyscale.internal.endpoint.EngineClient;
import org.bramleyscale.internal.endpoint.Reservations;
import org.bramleyscale.internal.membership.MembershipView;
import org.bramleyscale.internal.peer.PeerNetwork;
import org.bramleyscale.internal.routing.RoutingPolicy;
import org.bramleyscale.internal.time.Scheduler;

/**
 * The interfaces of other components that request handling depends on.
 *
 * @param scheduler the scheduler of the daemon's thread
 * @param random the random number generator
 * @param configuration the source of the current configuration
 * @param membership the view of the daemons' states
 * @param network the network for messages to other daemons
 * @param admission admits requests and determines the next one to start
 * @param estimator estimates the tokens of prompts
 * @param policy selects endpoints
 * @param pool the pool of endpoints
 * @param reservations reserves memory on groups of engines
 * @param client calls endpoints
 */
record RequestPorts(Scheduler scheduler, RandomGenerator random, ConfigurationSource configuration,
		MembershipView membership, PeerNetwork network, Admission admission, TokenEstimator estimator,
		RoutingPolicy policy, EndpointPool pool, Reservations reservations, EngineClient client) {

	RequestPorts {
		Objects.requireNonNull(scheduler, "scheduler");
		Objects.requireNonNull(random, "random");
		Objects.requireNonNull(configuration, "configuration");
		Objects.requireNonNull(membership, "membership");
		Objects.requireNonNull(network, "network");
		Objects.requireNonNull(admission, "admission");
		Objects.requireNonNull(estimator, "estimator");
		Objects.requireNonNull(policy, "policy");
		Objects.requireNonNull(pool, "pool");
		Objects.requireNonNull(reservations, "reservations");
		Objects.requireNonNull(client, "client");
	}

}
