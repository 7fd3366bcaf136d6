package org.bramleyscale.internal.peer;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import org.jboss.logging.Logger;

/**
 * Handles one TCP connection: the handshake, then messages until it closes.
 *
 * <p>
 * Invariants: only handshake messages are accepted before the handshake is complete, and
 * an unauthenticated peer can't make this side buffer more than a small frame or stay
 * connected beyond the handshake timeout; frames behind a malformed one are dropped, also
 * if they have arrived with it. Confined to the channel's event loop, except for the
 * counts of bytes.
 */
final class PeerChannel extends SimpleChannelInboundHandler<ByteBuf> {

	/** The name of the frame decoder in the pipeline. */
	static final String DECODER = "frames";

	/** The size of a frame's length field in bytes. */
	static final int LENGTH_BYTES = 4;

	private static final Logger logger = Logger.getLogger(PeerChannel.class);

	private static final long HANDSHAKE_TIMEOUT_SECONDS = 5;

	private final TcpPeerNetwork network;

	private final Handshake handshake;

	private final Hello hello;

	private final AtomicLong undeliveredBytes = new AtomicLong();

	private ChannelPeerLink link;

	private boolean corrupt;

	PeerChannel(TcpPeerNetwork network, Handshake handshake, Hello hello) {
		this.network = network;
		this.handshake = handshake;
		this.hello = hello;
	}

	static LengthFieldBasedFrameDecoder decoder(int maxPayloadBytes) {
		return new LengthFieldBasedFrameDecoder(maxPayloadBytes + LENGTH_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES);
	}

	@Override
	public void channelActive(ChannelHandlerContext context) {
		if (!this.network.tryBeginHandshake()) {
			context.close();
			return;
		}
		context.writeAndFlush(this.network.frame(this.hello));
		context.executor()
			.schedule(() -> closeIfHandshakeTimedOut(context), HANDSHAKE_TIMEOUT_SECONDS, TimeUnit.SECONDS);
	}

	@Override
	protected void channelRead0(ChannelHandlerContext context, ByteBuf frame) throws PeerProtocolException {
		if (this.corrupt) {
			return;
		}
		byte[] payload = ByteBufUtil.getBytes(frame);
		this.network.counters().received(LENGTH_BYTES + payload.length);
		if (!this.handshake.complete()) {
			receiveHandshake(context, this.network.codec().decodeUnauthenticated(peer(context), payload));
			return;
		}
		Optional<PeerMessage> message = this.network.codec().decode(peer(context), payload);
		if (message.isPresent()) {
			deliver(context, message.get(), payload.length);
		}
		else {
			this.network.counters().unknownMessage();
		}
	}

	@Override
	public void channelInactive(ChannelHandlerContext context) {
		if (this.link == null) {
			this.network.endHandshake();
		}
		this.network.closed(this.link, this.handshake);
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
		if (cause instanceof PeerProtocolException ex) {
			closeOnProtocolError(context, ex.kind(), ex.getMessage());
		}
		else if (cause instanceof DecoderException) {
			closeOnProtocolError(context, PeerProtocolException.Kind.MALFORMED, cause.getMessage());
		}
		else {
			logger.debugf("Connection to %s failed: %s", peer(context), cause);
			context.close();
		}
	}

	private void receiveHandshake(ChannelHandlerContext context, Optional<PeerMessage> message)
			throws PeerProtocolException {
		if (message.isEmpty()) {
			throw new PeerProtocolException(PeerProtocolException.Kind.MALFORMED, peer(context),
					"message with an unknown code during the handshake");
		}
		this.handshake.receive(message.get()).ifPresent((reply) -> context.writeAndFlush(this.network.frame(reply)));
		if (this.handshake.complete()) {
			completeHandshake(context);
		}
	}

	/**
	 * Switches from the handshake to messages. Replacing the decoder passes on frames
	 * that arrived together with the last frame of the handshake, so the link must exist
	 * before; otherwise the first messages of a busy peer would belong to no link and be
	 * lost.
	 * @param context the channel's context
	 */
	private void completeHandshake(ChannelHandlerContext context) {
		this.link = new ChannelPeerLink(context.channel(), this.handshake, this.network);
		this.network.endHandshake();
		this.network.opened(this.link);
		context.pipeline().replace(DECODER, DECODER, decoder(this.network.settings().maxFrameBytes()));
	}

	/**
	 * Passes a message to the scheduler's thread. That thread may lag behind the network;
	 * without a bound the queued messages would exhaust the heap, so reading stops until
	 * it has caught up, and TCP flow control blocks the sender.
	 * @param context the channel's context
	 * @param message the message
	 * @param payloadBytes the size of its payload
	 */
	private void deliver(ChannelHandlerContext context, PeerMessage message, int payloadBytes) {
		long bound = this.network.settings().maxQueuedBytes();
		if (this.undeliveredBytes.addAndGet(payloadBytes) > bound) {
			context.channel().config().setAutoRead(false);
		}
		this.network.received(this.link, message, () -> {
			if (this.undeliveredBytes.addAndGet(-payloadBytes) <= bound) {
				context.channel().config().setAutoRead(true);
			}
		});
	}

	private void closeIfHandshakeTimedOut(ChannelHandlerContext context) {
		if (!this.handshake.complete() && context.channel().isActive()) {
			closeOnProtocolError(context, PeerProtocolException.Kind.MALFORMED, "handshake timed out");
		}
	}

	private void closeOnProtocolError(ChannelHandlerContext context, PeerProtocolException.Kind kind, String reason) {
		this.corrupt = true;
		if (context.channel().isActive()) {
			this.network.counters().protocolError(kind);
			logger.warnf("Closed connection to %s after a protocol error: %s", peer(context), reason);
		}
		context.close();
	}

	private String peer(ChannelHandlerContext context) {
		return (this.link != null) ? this.link.remote().incarnation().toString()
				: String.valueOf(context.channel().remoteAddress());
	}

}
