package org.bramleyscale.internal.http;

import java.util.LinkedHashSet;
import java.util.Set;
import java.util.function.Function;

import org.bramleyscale.RequestId;
import org.bramleyscale.internal.time.Scheduler;

/**
 * Makes the sinks of answers and keeps the streams that are open.
 *
 * <p>
 * Confined to the scheduler's thread, except for {@link #formats}.
 */
final class Answers {

	private final Scheduler scheduler;

	private final EntrySettings settings;

	private final EntryMetrics metrics;

	private final Set<StreamedAnswer> open = new LinkedHashSet<>();

	Answers(Scheduler scheduler, EntrySettings settings, EntryMetrics metrics) {
		this.scheduler = scheduler;
		this.settings = settings;
		this.metrics = metrics;
	}

	Function<RequestId, AnswerFormat> formats(AnswerFormat.Kind kind, String model) {
		return (id) -> new AnswerFormat(kind, id.toString(), model, this.scheduler.wallTime().getEpochSecond());
	}

	StreamedAnswer streamed(Exchange exchange, Function<RequestId, AnswerFormat> formats, long offset) {
		StreamedAnswer answer = new StreamedAnswer(exchange, formats, this.settings, this.metrics, offset);
		this.open.add(answer);
		exchange.whenFinished(() -> this.open.remove(answer));
		return answer;
	}

	WholeAnswer whole(Exchange exchange, Function<RequestId, AnswerFormat> formats) {
		return new WholeAnswer(exchange, formats, this.metrics);
	}

	/**
	 * Sends a comment on each open stream. A caller whose connection went silent is
	 * noticed by this even while its request waits or its prompt is being computed, when
	 * no token would be written for minutes.
	 */
	void keepAlive() {
		Set.copyOf(this.open).forEach(StreamedAnswer::keepAlive);
	}

	int openStreams() {
		return this.open.size();
	}

}
