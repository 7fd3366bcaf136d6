package org.bramleyscale.internal.gateway.http;

import java.nio.charset.StandardCharsets;
import java.util.Random;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;

/**
 * Delivers bytes to a connection in drawn pieces, and keeps them for messages of tests.
 */
final class PiecewiseDelivery {

	private final Random random;

	private final EmbeddedChannel channel;

	private final StringBuilder delivered = new StringBuilder();

	PiecewiseDelivery(Random random, EmbeddedChannel channel) {
		this.random = random;
		this.channel = channel;
	}

	/**
	 * Delivers bytes in pieces, as far as the connection is open.
	 * @param bytes the bytes
	 */
	void deliver(String bytes) {
		String rest = bytes;
		while (!rest.isEmpty()) {
			int length = this.random.nextBoolean() ? rest.length() : 1 + this.random.nextInt(rest.length());
			deliverAtOnce(rest.substring(0, length));
			rest = rest.substring(length);
		}
	}

	/**
	 * Delivers bytes that are read together, if the connection is open.
	 * @param bytes the bytes
	 */
	void deliverAtOnce(String bytes) {
		this.delivered.append(bytes);
		if (this.channel.isActive()) {
			this.channel.writeInbound(Unpooled.copiedBuffer(bytes, StandardCharsets.UTF_8));
		}
	}

	@Override
	public String toString() {
		return this.delivered.toString().replace("\r", "\\r").replace("\n", "\\n").replace("\0", "\\0");
	}

}
