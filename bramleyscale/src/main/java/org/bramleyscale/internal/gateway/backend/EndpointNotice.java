package org.bramleyscale.internal.gateway.backend;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalDouble;

/**
 * Information about an endpoint's state that it includes in an answer.
 *
 * <p>
 * Immutable and safe for use by multiple threads.
 *
 * @param leaving true if it is about to terminate and accepts no new requests from any
 * daemon
 * @param backoff the back-off that it requests from the daemon whose request it rejected;
 * empty if it requests none
 * @param perSecond the requests a second that it accepts from all daemons together, if it
 * names a limit
 */
public record EndpointNotice(boolean leaving, Optional<Duration> backoff, OptionalDouble perSecond) {

	/** A notice without information. */
	public static final EndpointNotice NONE = new EndpointNotice(false, Optional.empty(), OptionalDouble.empty());

}
