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
 * Everything that the request slice uses of others.
 *
 * @param scheduler the daemon's thread
 * @param random the source of chance
 * @param configuration the configuration in force
 * @param membership which daemons answer
 * @param network messages to other daemons
 * @param admission decides what is taken and what goes next
 * @param estimator estimates tokens
 * @param policy chooses endpoints
 * @param pool the endpoints
 * @param reservations memory on groups of engines
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
