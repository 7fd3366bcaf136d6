package org.bramleyscale.standins.http;

import java.util.function.Consumer;
import java.util.function.Supplier;

import org.bramleyscale.internal.time.Scheduler;
import ratpack.exec.Promise;
import ratpack.func.Action;
import ratpack.handling.Context;

/**
 * Runs a stand-in's work on the scheduler's thread and sends its reply from an HTTP
 * thread.
 *
 * <p>
 * Stateless and safe for use by multiple threads.
 */
public final class Replies {

	private static final String JSON = "application/json";

	private Replies() {
	}

	/**
	 * Runs work that replies when it likes, or never.
	 * @param context the exchange
	 * @param scheduler the thread of the work
	 * @param work takes what sends the reply
	 */
	public static void later(Context context, Scheduler scheduler, Consumer<Consumer<Action<Context>>> work) {
		Promise.<Action<Context>>async((reply) -> scheduler.execute(() -> work.accept(reply::success)))
			.then((reply) -> reply.execute(context));
	}

	/**
	 * Runs work that replies with JSON at once.
	 * @param context the exchange
	 * @param scheduler the thread of the work
	 * @param work gives the JSON
	 */
	public static void json(Context context, Scheduler scheduler, Supplier<byte[]> work) {
		later(context, scheduler, (reply) -> reply.accept(json(work.get())));
	}

	public static Action<Context> json(byte[] body) {
		return json(200, body);
	}

	public static Action<Context> json(int status, byte[] body) {
		return (context) -> context.getResponse().status(status).send(JSON, body);
	}

}
