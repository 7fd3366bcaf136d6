package org.bramleyscale.internal.peer;

import java.util.concurrent.atomic.AtomicLong;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;

/**
 * A link over a Netty channel.
 *
 * <p>
 * Invariant: the bytes queued for a peer that doesn't read never exceed the bound; beyond
 * it frames are refused, so that one stuck peer can't fill the heap. Safe for use by
 * multiple threads.
 */
final class ChannelPeerLink implements PeerLink {

	private final Channel channel;

	private final PeerIdentity remote;

	private final boolean dialled;

	private final boolean replacing;

	private final TcpPeerNetwork network;

	private final AtomicLong queued = new AtomicLong();

	ChannelPeerLink(Channel channel, Greeting greeting, TcpPeerNetwork network) {
		this.channel = channel;
		this.remote = greeting.remote();
		this.dialled = greeting.dialled();
		this.replacing = greeting.replacing();
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
		int size = payload.length + PeerChannel.LENGTH_BYTES;
		if (!this.channel.isActive() || payload.length > this.network.settings().largestFrame()) {
			return false;
		}
		if (this.queued.addAndGet(size) > this.network.settings().mostQueuedBytes()) {
			this.queued.addAndGet(-size);
			return false;
		}
		this.channel.writeAndFlush(Unpooled.wrappedBuffer(payload)).addListener((done) -> this.queued.addAndGet(-size));
		this.network.counters().sent(size);
		return true;
	}

	@Override
	public long queued() {
		return this.queued.get();
	}

	@Override
	public void close() {
		this.channel.close();
	}

}
