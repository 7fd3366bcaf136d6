package org.bramleyscale.internal.routing;

import java.util.List;

import org.bramleyscale.internal.peer.PeerMessage;

/**
 * The prefill speeds that the sending daemon measured itself.
 *
 * @param endpoints the endpoints' names
 * @param tokensPerSecond for each endpoint, the measured prefill speed
 * @param samples for each endpoint, the number of recent samples the speed is based on
 */
public record SpeedDigest(List<String> endpoints, List<Double> tokensPerSecond,
		List<Integer> samples) implements PeerMessage {

	public SpeedDigest {
		endpoints = List.copyOf(endpoints);
		tokensPerSecond = List.copyOf(tokensPerSecond);
		samples = List.copyOf(samples);
		if (endpoints.size() != tokensPerSecond.size() || endpoints.size() != samples.size()) {
			throw new IllegalArgumentException("a speed digest has " + endpoints.size() + " endpoints but "
					+ tokensPerSecond.size() + " speeds and " + samples.size() + " sample counts");
		}
	}

}
