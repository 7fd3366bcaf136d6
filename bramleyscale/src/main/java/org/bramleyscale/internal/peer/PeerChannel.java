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
 * The life of one TCP connection: greeting, then messages until it closes.
 *
 * <p>
 * Invariants: nothing but a greeting is accepted before the greeting is complete, and an
 * unproven sender can't make this side hold more than a small frame or stay connected for
 * long. Confined to the channel's event loop, except for the counts of bytes.
 */
final class PeerChannel extends SimpleChannelInboundHandler<ByteBuf> {

	/** The name of the frame decoder in the pipeline. */
	static final String DECODER = "frames";

	/** The bytes of a frame's length field. */
	static final int LENGTH_BYTES = 4;

	private static final Logger logger = Logger.getLogger(PeerChannel.class);

	private static final long GREETING_SECONDS = 5;

	private final TcpPeerNetwork network;

	private final Greeting greeting;

	private final Hello hello;

	private final AtomicLong undelivered = new AtomicLong();

	private ChannelPeerLink link;

	PeerChannel(TcpPeerNetwork network, Greeting greeting, Hello hello) {
		this.network = network;
		this.greeting = greeting;
		this.hello = hello;
	}

	static LengthFieldBasedFrameDecoder decoder(int largestFrame) {
		return new LengthFieldBasedFrameDecoder(largestFrame + LENGTH_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES);
	}

	@Override
	public void channelActive(ChannelHandlerContext context) {
		if (!this.network.greetingBegins()) {
			context.close();
			return;
		}
		context.writeAndFlush(this.network.frame(this.hello));
		context.executor().schedule(() -> endSlowGreeting(context), GREETING_SECONDS, TimeUnit.SECONDS);
	}

	@Override
	protected void channelRead0(ChannelHandlerContext context, ByteBuf frame) throws PeerProtocolException {
		byte[] payload = ByteBufUtil.getBytes(frame);
		this.network.counters().received(LENGTH_BYTES + payload.length);
		if (!this.greeting.complete()) {
			greet(context, this.network.codec().decodeUnproven(peer(context), payload));
			return;
		}
		Optional<PeerMessage> message = this.network.codec().decode(peer(context), payload);
		if (message.isPresent()) {
			receive(context, message.get(), payload.length);
		}
		else {
			this.network.counters().unknownMessage();
		}
	}

	@Override
	public void channelInactive(ChannelHandlerContext context) {
		if (this.link == null) {
			this.network.greetingEnds();
		}
		this.network.ended(this.link, this.greeting);
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
		if (cause instanceof PeerProtocolException ex) {
			cutOff(context, ex.kind(), ex.getMessage());
		}
		else if (cause instanceof DecoderException) {
			cutOff(context, PeerProtocolException.Kind.MALFORMED, cause.getMessage());
		}
		else {
			logger.debugf("Connection to %s failed: %s", peer(context), cause);
			context.close();
		}
	}

	private void greet(ChannelHandlerContext context, Optional<PeerMessage> message) throws PeerProtocolException {
		if (message.isEmpty()) {
			throw new PeerProtocolException(PeerProtocolException.Kind.MALFORMED, peer(context),
					"the greeting has an unknown message");
		}
		this.greeting.receive(message.get()).ifPresent((reply) -> context.writeAndFlush(this.network.frame(reply)));
		if (this.greeting.complete()) {
			open(context);
		}
	}

	/**
	 * Goes over from the greeting to messages. Replacing the decoder hands on frames that
	 * arrived together with the greeting's last one, so the link must be there before;
	 * otherwise the first messages of a busy peer would belong to no link and be lost.
	 * @param context the channel's context
	 */
	private void open(ChannelHandlerContext context) {
		this.link = new ChannelPeerLink(context.channel(), this.greeting, this.network);
		this.network.greetingEnds();
		this.network.opened(this.link);
		context.pipeline().replace(DECODER, DECODER, decoder(this.network.settings().largestFrame()));
	}

	/**
	 * Hands a message over to the scheduler's thread. That thread may lag behind the
	 * network; without a bound the messages waiting for it would fill the heap, so
	 * reading stops until it has caught up, and TCP makes the sender wait.
	 * @param context the channel's context
	 * @param message the message
	 * @param size its size in bytes
	 */
	private void receive(ChannelHandlerContext context, PeerMessage message, int size) {
		long bound = this.network.settings().mostQueuedBytes();
		if (this.undelivered.addAndGet(size) > bound) {
			context.channel().config().setAutoRead(false);
		}
		this.network.received(this.link, message, () -> {
			if (this.undelivered.addAndGet(-size) <= bound) {
				context.channel().config().setAutoRead(true);
			}
		});
	}

	private void endSlowGreeting(ChannelHandlerContext context) {
		if (!this.greeting.complete() && context.channel().isActive()) {
			cutOff(context, PeerProtocolException.Kind.MALFORMED, "the greeting took too long");
		}
	}

	private void cutOff(ChannelHandlerContext context, PeerProtocolException.Kind kind, String reason) {
		if (context.channel().isActive()) {
			this.network.counters().cutOff(kind);
			logger.warnf("Connection to %s cut off: %s", peer(context), reason);
		}
		context.close();
	}

	private String peer(ChannelHandlerContext context) {
		return (this.link != null) ? this.link.remote().incarnation().toString()
				: String.valueOf(context.channel().remoteAddress());
	}

}
