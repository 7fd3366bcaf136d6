package org.bramleyscale.daemon.operator;

import java.net.ConnectException;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ExecutionException;

import com.google.common.base.Throwables;
import com.google.common.net.HttpHeaders;
import org.bramleyscale.daemon.CommandException;
import org.bramleyscale.daemon.ExitCode;
import org.bramleyscale.internal.http.HttpExecution;
import org.bramleyscale.internal.http.WholeReply;
import org.bramleyscale.internal.status.OperatorHandlers;
import org.bramleyscale.internal.time.EventLoop;
import ratpack.http.client.RequestSpec;

/**
 * Calls daemons one after another until one answers.
 *
 * <p>
 * Each call opens a connection of its own: a command is short, and a kept connection may
 * have gone silent. Used by one thread, which waits for each answer.
 */
public final class DaemonClient implements AutoCloseable {

	private final List<String> addresses;

	private final String key;

	private final Duration timeout;

	private final EventLoop loop = new EventLoop("bramleyscale-client");

	private final HttpExecution execution = new HttpExecution(this.loop);

	/**
	 * Creates a client.
	 * @param addresses {@code host:port} of the daemons, in the order in which to try
	 * @param key the key to show; empty for none
	 * @param timeout how long one daemon may take to answer
	 */
	public DaemonClient(List<String> addresses, String key, Duration timeout) {
		if (addresses.isEmpty()) {
			throw new IllegalArgumentException("at least one address is needed");
		}
		this.addresses = List.copyOf(addresses);
		this.key = key;
		this.timeout = timeout;
	}

	/**
	 * Sends a call to the first daemon that answers.
	 * @param call the call
	 * @return the first answer that isn't a refusal for the daemon's own reasons, or else
	 * the last refusal
	 * @throws CommandException if no daemon answers
	 */
	public Reply send(Call call) throws CommandException {
		return send(this.addresses, call);
	}

	/**
	 * Sends a call to one daemon.
	 * @param address {@code host:port}
	 * @param call the call
	 * @return its answer
	 * @throws CommandException if it doesn't answer
	 */
	public Reply sendTo(String address, Call call) throws CommandException {
		return send(List.of(address), call);
	}

	@Override
	public void close() {
		this.execution.close();
		this.loop.close();
	}

	private Reply send(List<String> targets, Call call) throws CommandException {
		boolean doubtful = false;
		Reply refusal = null;
		List<String> failures = new ArrayList<>();
		for (String address : targets) {
			try {
				Reply reply = attempt(address, call);
				if (!reply.askElsewhere()) {
					return doubtful ? reply.withDoubt() : reply;
				}
				refusal = reply;
			}
			catch (ExecutionException ex) {
				Throwable cause = Throwables.getRootCause(ex);
				failures.add(address + " does not answer: " + cause);
				// The daemon may have carried out the call before it, or its connection,
				// died. Forgetting that would let a later "conflict" or "no" be told as
				// the change's fate.
				doubtful |= !call.reads() && !neverSent(cause);
			}
		}
		if (refusal != null) {
			return doubtful ? refusal.withDoubt() : refusal;
		}
		throw new CommandException(doubtful ? ExitCode.UNKNOWN_OUTCOME : ExitCode.NOT_REACHABLE,
				String.join(System.lineSeparator(), failures));
	}

	private Reply attempt(String address, Call call) throws ExecutionException, CommandException {
		URI uri = URI.create("http://" + address + call.path());
		try {
			return this.execution
				.call(this.timeout,
						() -> this.execution.freshClient()
							.requestStream(uri, (request) -> prepare(request, call))
							.flatMap(WholeReply::of)
							.map((reply) -> reply(address, reply)))
				.get();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new CommandException(call.reads() ? ExitCode.FAILED : ExitCode.UNKNOWN_OUTCOME, "interrupted", ex);
		}
	}

	private void prepare(RequestSpec request, Call call) {
		request.method(call.method()).readTimeout(this.timeout);
		if (!this.key.isEmpty()) {
			request.getHeaders().set(HttpHeaders.AUTHORIZATION, "Bearer " + this.key);
		}
		if (!call.body().isEmpty()) {
			request.getBody().type("application/yaml").text(call.body());
		}
	}

	private static Reply reply(String address, WholeReply reply) {
		Optional<Long> version = Optional.ofNullable(reply.headers().get(OperatorHandlers.VERSION_HEADER))
			.map(Long::valueOf);
		return new Reply(address, reply.status(), version, new String(reply.body(), StandardCharsets.UTF_8), false);
	}

	private static boolean neverSent(Throwable cause) {
		return cause instanceof ConnectException;
	}

}
