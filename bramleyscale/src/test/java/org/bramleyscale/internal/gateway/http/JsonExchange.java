package org.bramleyscale.internal.gateway.http;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import org.bramleyscale.internal.time.ManualScheduler;

/**
 * A connection of a {@link JsonClient} without a socket, and the last call on it.
 */
final class JsonExchange {

	private static final Duration LIMIT = Duration.ofSeconds(1);

	private static final String PATH = "/objects";

	private static final int MAX_RESPONSE_BYTES = 64 * 1024;

	private final ManualScheduler scheduler = new ManualScheduler();

	private final EmbeddedChannel channel = new EmbeddedChannel();

	private final IdleJsonConnections idle = new IdleJsonConnections(1);

	private final JsonConnection connection = JsonConnection.addTo(this.channel, this.idle, this.scheduler, "store",
			PATH, MAX_RESPONSE_BYTES);

	private CompletableFuture<JsonClient.Response> result;

	EmbeddedChannel channel() {
		return this.channel;
	}

	/**
	 * Sends a call on the connection.
	 */
	void call() {
		this.result = new CompletableFuture<>();
		this.connection.send(new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, PATH), this.result,
				LIMIT);
		this.channel.releaseOutbound();
	}

	/**
	 * Delivers bytes at once, if the connection is open.
	 * @param bytes the bytes
	 */
	void read(String bytes) {
		if (this.channel.isActive()) {
			this.channel.writeInbound(Unpooled.copiedBuffer(bytes, StandardCharsets.UTF_8));
		}
	}

	void closeByServer() {
		this.channel.pipeline().fireUserEventTriggered(ChannelInputShutdownEvent.INSTANCE);
		this.channel.close();
	}

	void reset() {
		this.channel.pipeline().fireExceptionCaught(new IOException("connection reset"));
		this.channel.pipeline().fireUserEventTriggered(ChannelInputShutdownEvent.INSTANCE);
		this.channel.close();
	}

	void awaitTimeLimit() {
		this.scheduler.advance(LIMIT);
	}

	/**
	 * Takes the connection for the next call.
	 * @return false if it may not carry one
	 */
	boolean takeAgain() {
		return this.idle.take(PATH) == this.connection;
	}

	boolean ended() {
		return this.result.isDone();
	}

	boolean succeeded() {
		return this.result.isDone() && !this.result.isCompletedExceptionally();
	}

	/**
	 * Whether all of a response was received, and nothing else.
	 * @param response the response
	 * @return false if anything differs, or if the call hasn't succeeded
	 */
	boolean received(ScriptedResponse response) {
		if (!succeeded()) {
			return false;
		}
		JsonClient.Response own = this.result.join();
		return own.status() == response.code() && body().equals(response.body())
				&& own.headers().getAll("Signature").equals(List.of("s-" + response.id()));
	}

	String body() {
		return new String(this.result.join().body(), StandardCharsets.UTF_8);
	}

	void close() {
		this.channel.finishAndReleaseAll();
	}

	@Override
	public String toString() {
		return succeeded() ? this.result.join().headers() + " " + this.result.join() : String.valueOf(this.result);
	}

}
