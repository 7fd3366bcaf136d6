package org.bramleyscale.internal.request;

import java.util.ArrayList;
import java.util.List;

import org.bramleyscale.RequestId;
import org.bramleyscale.ServingException;
import org.bramleyscale.internal.endpoint.EngineUsage;
import org.bramleyscale.internal.endpoint.ServiceReply;

/**
 * Records an answer, and each violation of the contract of sinks.
 */
final class RecordingSink implements AnswerSink, PlainSink {

	final List<RequestId> ids = new ArrayList<>();

	final StringBuilder text = new StringBuilder();

	final List<String> violations = new ArrayList<>();

	long next;

	int ends;

	boolean completed;

	EngineUsage usage;

	ServiceReply reply;

	ServingException failure;

	RecordingSink() {
		this(0);
	}

	RecordingSink(long offset) {
		this.next = offset;
	}

	RequestId id() {
		return this.ids.get(0);
	}

	/**
	 * Summarizes the end.
	 * @return {@code open}, {@code completed}, or the code of the failure and whether the
	 * request ran
	 */
	String end() {
		if (this.ends == 0) {
			return "open";
		}
		return (this.completed) ? "completed" : this.failure.code() + " " + this.failure.ran();
	}

	@Override
	public void admitted(RequestId id) {
		check(this.ids.isEmpty(), "admitted twice");
		this.ids.add(id);
	}

	@Override
	public void tokens(long offset, int tokens, String part) {
		check(this.ends == 0, "tokens after the end");
		check(offset == this.next, "offset " + offset + " instead of " + this.next);
		this.next = offset + tokens;
		this.text.append(part);
	}

	@Override
	public void completed(EngineUsage used) {
		this.usage = used;
		end(true);
	}

	@Override
	public void completed(ServiceReply answer) {
		this.reply = answer;
		end(true);
	}

	@Override
	public void failed(ServingException ending) {
		this.failure = ending;
		end(false);
	}

	private void end(boolean successful) {
		this.ends++;
		this.completed = successful;
		check(this.ends == 1, "ended " + this.ends + " times");
	}

	private void check(boolean holds, String message) {
		if (!holds) {
			this.violations.add(message);
		}
	}

}
