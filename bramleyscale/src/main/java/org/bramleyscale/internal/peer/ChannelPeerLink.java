package org.bramleyscale.internal.peer;

import java.util.concurrent.atomic.AtomicLong;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;

/**
 * A link over a Netty channel.
 *
 * <p>
 * Invariant: the bytes queued for a peer that doesn't read never exceed
 * {@link TcpPeerSettings#maxQueuedBytes()}; further frames are refused, so that one
 * blocked peer can't exhaust the heap. Safe for use by multiple threads.
 */
final class ChannelPeerLink implements PeerLink {

	private final Channel channel;

	private final PeerIdentity remote;

	private final boolean dialled;

	private final boolean replacing;

	private final TcpPeerNetwork network;

	private final AtomicLong queuedBytes = new AtomicLong();

	ChannelPeerLink(Channel channel, Handshake handshake, TcpPeerNetwork network) {
		this.channel = channel;
		this.remote = handshake.remote();
		this.dialled = handshake.dialled();
		this.replacing = handshake.replacing();
		this.network = network;
	}

	@Override
	public PeerIdentity remote() {
		return this.remote;
	}

	@Override
	public boolean dialled() {
		return this.dialled;
	}

	@Override
	public boolean replacing() {
		return this.replacing;
	}

	@Override
	public boolean send(byte[] payload) {
		int frameBytes = payload.length + PeerChannel.LENGTH_BYTES;
		if (!this.channel.isActive() || payload.length > this.network.settings().maxFrameBytes()) {
			return false;
		}
		if (this.queuedBytes.addAndGet(frameBytes) > this.network.settings().maxQueuedBytes()) {
			this.queuedBytes.addAndGet(-frameBytes);
			return false;
		}
		this.channel.writeAndFlush(Unpooled.wrappedBuffer(payload))
			.addListener((done) -> this.queuedBytes.addAndGet(-frameBytes));
		this.network.counters().sent(frameBytes);
		return true;
	}

	@Override
	public long queuedBytes() {
		return this.queuedBytes.get();
	}

	@Override
	public void close() {
		this.channel.close();
	}

}
