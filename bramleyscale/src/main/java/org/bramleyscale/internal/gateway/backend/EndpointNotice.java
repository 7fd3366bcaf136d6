package org.bramleyscale.internal.gateway.backend;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalDouble;

/**
 * What an endpoint says of itself with an answer.
 *
 * <p>
 * Immutable and safe for use by multiple threads.
 *
 * @param leaving true if it is about to end and wants no new requests from anybody
 * @param rest how long it wants nothing from the daemon that it turned away; empty if it
 * asks for no rest
 * @param perSecond the requests a second that it takes from all daemons together, if it
 * names a limit
 */
public record EndpointNotice(boolean leaving, Optional<Duration> rest, OptionalDouble perSecond) {

	/** Nothing is said. */
	public static final EndpointNotice NONE = new EndpointNotice(false, Optional.empty(), OptionalDouble.empty());

}
