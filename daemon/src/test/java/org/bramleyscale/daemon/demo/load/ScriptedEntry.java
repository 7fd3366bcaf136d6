package org.bramleyscale.daemon.demo.load;

import java.net.InetAddress;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

import ratpack.handling.Context;
import ratpack.server.RatpackServer;

/**
 * An entry that answers each call as the test's script says.
 */
final class ScriptedEntry implements AutoCloseable {

	private final String prefix;

	private final Deque<Reply> script = new ArrayDeque<>();

	private final List<String> calls = new CopyOnWriteArrayList<>();

	private final RatpackServer server;

	private String addresses = "";

	ScriptedEntry(String prefix) throws Exception {
		this.prefix = prefix;
		this.server = RatpackServer.start((spec) -> spec
			.serverConfig((config) -> config.address(InetAddress.getLoopbackAddress())
				.port(0)
				.threads(1)
				.registerShutdownHook(false)
				.development(false))
			.handlers((chain) -> chain.get("v1/addresses", (context) -> context.getResponse().send(this.addresses))
				.all(this::answer)));
	}

	String address() {
		return "127.0.0.1:" + this.server.getBindPort();
	}

	/**
	 * What was called, as method, path and request id.
	 * @return the calls in order
	 */
	List<String> calls() {
		return this.calls;
	}

	ScriptedEntry names(ScriptedEntry... entries) {
		List<String> named = Arrays.stream(entries)
			.map((entry) -> "{\"address\":\"" + entry.address() + "\",\"requestIdPrefix\":\"" + entry.prefix + "\"}")
			.toList();
		this.addresses = "{\"entries\":[" + String.join(",", named) + "],\"keepForMillis\":60000}";
		return this;
	}

	/**
	 * Sends a whole answer.
	 */
	ScriptedEntry whole(int status, String body) {
		this.script.add(new Reply(status, body, false));
		return this;
	}

	ScriptedEntry refusal(int status, String code, String ran) {
		return whole(status, "{\"error\":{\"code\":\"" + code + "\",\"ran\":\"" + ran + "\"}}");
	}

	/**
	 * Closes the connection without an answer.
	 */
	ScriptedEntry cut() {
		this.script.add(new Reply(0, "", true));
		return this;
	}

	private void answer(Context context) {
		this.calls.add(context.getRequest().getMethod() + " " + context.getRequest().getUri() + " "
				+ context.getRequest().getHeaders().get("Request-Id"));
		Reply reply = this.script.remove();
		if (reply.cut()) {
			context.getDirectChannelAccess().getChannel().close();
			return;
		}
		context.header("Request-Id", "any");
		context.getResponse().status(reply.status()).send(reply.body());
	}

	@Override
	public void close() throws Exception {
		this.server.stop();
	}

	private record Reply(int status, String body, boolean cut) {
	}

}
