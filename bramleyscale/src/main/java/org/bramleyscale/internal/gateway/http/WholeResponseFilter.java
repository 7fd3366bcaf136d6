package org.bramleyscale.internal.gateway.http;

import java.util.List;

import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.CorruptedFrameException;
import io.netty.handler.codec.MessageToMessageDecoder;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;

/**
 * Passes on final responses of which one is awaited, before they are aggregated.
 *
 * <p>
 * Invariants: the end of a response that was broken off is withheld, since the aggregator
 * removes the transfer coding from a head that the decoder still consults, which then
 * takes the end of the connection for the end of a chunked response; interim responses
 * are dropped; a response that nobody awaits, a change of protocol and a trailer, which
 * may be the head of another response, are faults of the connection. Confined to the
 * loop's thread.
 */
final class WholeResponseFilter extends MessageToMessageDecoder<HttpObject> {

	private final EndOfInputDetector input;

	private boolean awaited;

	private boolean headOnly;

	private boolean delimited;

	private boolean interim;

	private UnneededBytes unneeded = new UnneededBytes();

	WholeResponseFilter(EndOfInputDetector input) {
		this.input = input;
	}

	/**
	 * Awaits the response to a request.
	 * @param toHeadOnly whether the request asks for the head only
	 */
	void await(boolean toHeadOnly) {
		this.awaited = true;
		this.headOnly = toHeadOnly;
		this.unneeded = new UnneededBytes();
	}

	@Override
	protected void decode(ChannelHandlerContext context, HttpObject message, List<Object> passedOn) {
		if (message.decoderResult().isFailure()) {
			throw new CorruptedFrameException(message.decoderResult().cause());
		}
		if (message instanceof HttpResponse head) {
			startResponse(head);
		}
		if (this.interim) {
			return;
		}
		if (message instanceof LastHttpContent last) {
			require(last.trailingHeaders().isEmpty(), "a response with a trailer");
			if (brokenOff()) {
				return;
			}
			this.awaited = false;
		}
		passedOn.add(ReferenceCountUtil.retain(message));
	}

	private void startResponse(HttpResponse head) {
		require(this.awaited, "a response to no call");
		require(!head.status().equals(HttpResponseStatus.SWITCHING_PROTOCOLS),
				"a change of protocol that wasn't asked for");
		this.interim = head.status().codeClass() == HttpStatusClass.INFORMATIONAL;
		if (this.interim) {
			this.unneeded.addInterimResponse().ifPresent((fault) -> {
				throw new CorruptedFrameException(fault);
			});
		}
		this.delimited = ResponseFraming.isDelimited(head, this.headOnly);
	}

	private static void require(boolean condition, String otherwise) {
		if (!condition) {
			throw new CorruptedFrameException(otherwise);
		}
	}

	private boolean brokenOff() {
		return this.delimited ? this.input.ended() : !this.input.closedByPeer();
	}

}
