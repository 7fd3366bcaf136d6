package org.bramleyscale.internal.http;

import java.time.Duration;
import java.util.function.Function;

import io.netty.channel.Channel;
import io.netty.util.concurrent.GenericFutureListener;
import org.bramleyscale.ErrorCode;
import org.bramleyscale.Ran;
import org.bramleyscale.ServingException;
import org.bramleyscale.Step;
import org.bramleyscale.internal.time.Cancellable;
import org.bramleyscale.internal.time.Scheduler;
import ratpack.exec.Downstream;
import ratpack.exec.Promise;
import ratpack.func.Action;
import ratpack.handling.Context;

/**
 * One call of a caller, from the checks on an HTTP thread to the work on the scheduler's
 * thread and back.
 *
 * <p>
 * Invariants: the first {@link #reply} is the one that is sent; a caller whose connection
 * closes before {@link #finished()} is reported to the work once. {@link #start} is
 * called on the HTTP thread; all else is confined to the scheduler's thread.
 */
final class Exchange {

	private final Context context;

	private final Channel channel;

	private final Scheduler scheduler;

	private final GenericFutureListener<io.netty.util.concurrent.Future<Void>> onClose;

	private Downstream<? super Action<Context>> downstream;

	private Cancellable work;

	private Runnable whenFinished = () -> {
	};

	private boolean finished;

	private boolean gone;

	Exchange(Context context, Scheduler scheduler) {
		this.context = context;
		this.channel = context.getDirectChannelAccess().getChannel();
		this.scheduler = scheduler;
		context.getRequest().setIdleTimeout(Duration.ZERO);
		this.onClose = (future) -> scheduler.execute(this::callerGone);
	}

	/**
	 * Runs the work on the scheduler's thread and sends its reply.
	 * @param task starts the work; the result tells it that the caller has gone
	 */
	void start(Function<Exchange, Cancellable> task) {
		Promise.<Action<Context>>async((newDownstream) -> this.scheduler.execute(() -> {
			this.downstream = newDownstream;
			run(task);
		})).then((reply) -> reply.execute(this.context));
	}

	private void run(Function<Exchange, Cancellable> task) {
		this.channel.closeFuture().addListener(this.onClose);
		try {
			Cancellable started = task.apply(this);
			if (this.gone) {
				started.cancel();
			}
			this.work = started;
		}
		catch (RuntimeException ex) {
			// Without an answer the caller would wait for its whole time, and its
			// connection would stay open with nobody behind it.
			fail(new ServingException(ErrorCode.INTERNAL, Ran.UNKNOWN, Step.ADMIT, EntryServer.SELF,
					"the request failed inside the daemon"));
			throw ex;
		}
	}

	void whenFinished(Runnable task) {
		this.whenFinished = task;
	}

	Channel channel() {
		return this.channel;
	}

	/**
	 * Sends the reply, unless there was one.
	 * @param reply what is done on the HTTP thread to send it
	 */
	void reply(Action<Context> reply) {
		if (this.downstream != null) {
			Downstream<? super Action<Context>> once = this.downstream;
			this.downstream = null;
			once.success(reply);
		}
	}

	void fail(ServingException failure) {
		finished();
		reply((answering) -> ErrorBody.send(answering, failure));
	}

	/**
	 * Tells that the work has ended, so that nobody needs to hear of a caller that goes.
	 */
	void finished() {
		if (!this.finished) {
			this.finished = true;
			this.channel.closeFuture().removeListener(this.onClose);
			this.whenFinished.run();
		}
	}

	/**
	 * Tells the work that nobody reads the answer any more.
	 */
	void callerGone() {
		if (this.finished) {
			return;
		}
		finished();
		this.gone = true;
		if (this.work != null) {
			this.work.cancel();
		}
		fail(new ServingException(ErrorCode.CANCELLED, Ran.UNKNOWN, Step.STREAM, EntryServer.SELF,
				"the caller closed its connection"));
	}

}
