package org.bramleyscale.internal.gateway.backend;

import java.time.Duration;

import com.google.common.net.HostAndPort;
import org.bramleyscale.DataCentre;
import org.bramleyscale.EndpointId;
import org.bramleyscale.ServiceName;

/**
 * One start of one endpoint.
 *
 * <p>
 * Neither the address nor the id is unique to one start: after an endpoint has ended, its
 * address may be reused by another service, and it may restart under the same id.
 * Immutable and safe for use by multiple threads.
 *
 * @param start the endpoint's id and start
 * @param service the service it belongs to
 * @param address the address it listens on
 * @param dataCentre the data centre it runs in
 * @param slots the number of requests it runs concurrently
 * @param draining true once it accepts no new requests
 */
public record Backend(EndpointStart start, ServiceName service, HostAndPort address, DataCentre dataCentre, int slots,
		boolean draining) {

	/** An endpoint that is silent for no longer than this isn't at fault. */
	public static final Duration LONGEST_SOUND_SILENCE = Duration.ofMillis(1_300);

	/**
	 * The endpoint's id.
	 * @return the id, the same for each of its starts
	 */
	public EndpointId id() {
		return this.start.id();
	}

	/**
	 * Returns a draining copy of this endpoint.
	 * @return the copy
	 */
	public Backend drained() {
		return new Backend(this.start, this.service, this.address, this.dataCentre, this.slots, true);
	}

}
