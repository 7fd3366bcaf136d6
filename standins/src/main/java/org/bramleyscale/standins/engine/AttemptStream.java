package org.bramleyscale.standins.engine;

import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;

import org.bramleyscale.ErrorCode;
import org.bramleyscale.Ran;
import org.bramleyscale.internal.endpoint.EngineUsage;
import org.bramleyscale.internal.http.EventStream;
import ratpack.func.Action;
import ratpack.handling.Context;

/**
 * Sends one attempt to one reader as server-sent events.
 *
 * <p>
 * Confined to the scheduler's thread.
 */
final class AttemptStream implements AttemptListener {

	private static final byte[] ACCEPTED = "event: accepted\ndata: {}\n\n".getBytes(StandardCharsets.UTF_8);

	private final EventStream stream;

	private final Consumer<Action<Context>> reply;

	private final String head;

	private boolean begun;

	AttemptStream(EventStream stream, AttemptKey key, Consumer<Action<Context>> reply) {
		this.stream = stream;
		this.reply = reply;
		this.head = EngineWire.frameHead(key);
	}

	@Override
	public void accepted() {
		this.begun = true;
		this.stream.send(ACCEPTED);
		this.reply.accept((context) -> {
			context.getResponse().contentType("text/event-stream;charset=UTF-8");
			context.getResponse().sendStream(this.stream);
		});
	}

	@Override
	public void frame(long offset, int tokens, String text) {
		this.stream.send(EngineWire.frame(this.head, offset, tokens, text));
	}

	@Override
	public void done(EngineUsage usage) {
		this.stream.send(EngineWire.event("done", EngineWire.usage(usage)));
		this.stream.end();
	}

	@Override
	public void failed(ErrorCode code, Ran ran, String message) {
		byte[] error = EngineWire.error(code, ran, message);
		if (this.begun) {
			this.stream.send(EngineWire.event("error", error));
			this.stream.end();
			return;
		}
		this.reply.accept((context) -> context.getResponse().status(code.httpStatus()).send(EngineWire.JSON, error));
	}

}
