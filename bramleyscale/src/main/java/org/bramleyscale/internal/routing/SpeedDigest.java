package org.bramleyscale.internal.routing;

import java.util.List;

import org.bramleyscale.internal.peer.PeerMessage;

/**
 * The speeds that the sending entry measured itself.
 *
 * @param endpoints the endpoints' names
 * @param tokensPerSecond for each endpoint, the measured speed of prompt computation
 * @param samples for each endpoint, how many recent measurements it rests on
 */
public record SpeedDigest(List<String> endpoints, List<Double> tokensPerSecond,
		List<Integer> samples) implements PeerMessage {

	public SpeedDigest {
		endpoints = List.copyOf(endpoints);
		tokensPerSecond = List.copyOf(tokensPerSecond);
		samples = List.copyOf(samples);
		if (endpoints.size() != tokensPerSecond.size() || endpoints.size() != samples.size()) {
			throw new IllegalArgumentException("a speed digest holds " + endpoints.size() + " endpoints but "
					+ tokensPerSecond.size() + " speeds and " + samples.size() + " sample counts");
		}
	}

}
