package org.bramleyscale.internal.gateway.node;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

import org.bramleyscale.DataCentre;
import org.bramleyscale.VmId;
import org.bramleyscale.internal.gateway.limit.ColdBounds;
import org.bramleyscale.internal.peer.VmCapacity;

/**
 * The settings of a daemon that relays requests.
 *
 * <p>
 * Immutable and safe for use by multiple threads.
 *
 * @param vm its VM
 * @param dataCentre where it runs
 * @param callers where it listens for callers
 * @param peers where it listens for peers
 * @param seeds peers to dial before the list of daemons has been read
 * @param addressKeepFor how long callers keep an answer about addresses
 * @param grace how long a planned stop may take
 * @param propagationLimit the time within which a change in the store must be in force on
 * every daemon
 * @param retryWindow the window of the retry budget
 * @param retryRatio retries allowed for each request in a window
 * @param retryConstant additional retries allowed in a window, for all daemons together
 * @param capacity the capacity of the VM
 * @param coldBounds how far cold endpoints' rates may be exceeded, or empty if they are
 * treated like others
 */
public record GatewaySettings(VmId vm, DataCentre dataCentre, InetSocketAddress callers, InetSocketAddress peers,
		List<VmId> seeds, Duration addressKeepFor, Duration grace, Duration propagationLimit, Duration retryWindow,
		double retryRatio, double retryConstant, VmCapacity capacity, Optional<ColdBounds> coldBounds) {

	public GatewaySettings {
		seeds = List.copyOf(seeds);
		if (grace.isNegative() || grace.isZero()) {
			throw new IllegalArgumentException("grace must be positive, was " + grace);
		}
		if (propagationLimit.isNegative() || propagationLimit.isZero()) {
			throw new IllegalArgumentException("propagationLimit must be positive, was " + propagationLimit);
		}
	}

	/**
	 * Creates settings by which cold endpoints are treated like others.
	 * @param vm see above
	 * @param dataCentre see above
	 * @param callers see above
	 * @param peers see above
	 * @param seeds see above
	 * @param addressKeepFor see above
	 * @param grace see above
	 * @param propagationLimit see above
	 * @param retryWindow see above
	 * @param retryRatio see above
	 * @param retryConstant see above
	 * @param capacity see above
	 */
	public GatewaySettings(VmId vm, DataCentre dataCentre, InetSocketAddress callers, InetSocketAddress peers,
			List<VmId> seeds, Duration addressKeepFor, Duration grace, Duration propagationLimit, Duration retryWindow,
			double retryRatio, double retryConstant, VmCapacity capacity) {
		this(vm, dataCentre, callers, peers, seeds, addressKeepFor, grace, propagationLimit, retryWindow, retryRatio,
				retryConstant, capacity, Optional.empty());
	}

	/**
	 * Formats an address for peers and callers.
	 * @param address the address
	 * @return {@code host:port}
	 */
	static String formatAddress(InetSocketAddress address) {
		return address.getHostString() + ":" + address.getPort();
	}

}
