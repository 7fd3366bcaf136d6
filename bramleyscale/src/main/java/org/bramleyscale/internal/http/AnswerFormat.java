package org.bramleyscale.internal.http;

import java.nio.charset.StandardCharsets;

import com.fasterxml.jackson.core.io.JsonStringEncoder;
import org.bramleyscale.ServingException;
import org.bramleyscale.internal.endpoint.EngineUsage;

/**
 * Writes the answer of one completion in the usual JSON, whole or as events.
 *
 * <p>
 * The parts that are equal in all events of an answer are written once, since a busy
 * daemon writes an event for each token. Immutable and safe for use by multiple threads.
 */
final class AnswerFormat {

	private static final byte[] KEEP_ALIVE = ": keep-alive\n\n".getBytes(StandardCharsets.UTF_8);

	private static final String DONE = "data: [DONE]\n\n";

	private static final int EVENT_OVERHEAD = 64;

	private final Kind kind;

	private final String model;

	private final String head;

	private final long created;

	private final String id;

	AnswerFormat(Kind kind, String id, String model, long created) {
		this.kind = kind;
		this.id = id;
		this.model = model;
		this.created = created;
		this.head = "data: " + opening(kind.chunkObject) + ",\"choices\":[{\"index\":0,";
	}

	static byte[] keepAlive() {
		return KEEP_ALIVE;
	}

	/**
	 * The first event, which tells the request's id before there is a token.
	 * @param offset the offset of the first token to come
	 * @return the event
	 */
	byte[] first(long offset) {
		return event(offset).append(this.kind.firstPart)
			.append(",\"finish_reason\":null}]}\n\n")
			.toString()
			.getBytes(StandardCharsets.UTF_8);
	}

	byte[] tokens(long offset, int tokens, String text) {
		StringBuilder event = event(offset).append(this.kind.textStart);
		JsonStringEncoder.getInstance().quoteAsString(text, event);
		event.append(this.kind.textEnd).append(",\"finish_reason\":null}],\"offset\":").append(offset);
		return event.append(",\"tokens\":").append(tokens).append("}\n\n").toString().getBytes(StandardCharsets.UTF_8);
	}

	/**
	 * The last event of a completed answer and the end mark.
	 * @param usage what was used
	 * @return the events
	 */
	byte[] last(EngineUsage usage) {
		StringBuilder event = event(usage.answerTokens()).append(this.kind.emptyPart);
		event.append(",\"finish_reason\":\"").append(usage.finishReason()).append("\"}],");
		return usage(event, usage).append("}\n\n").append(DONE).toString().getBytes(StandardCharsets.UTF_8);
	}

	/**
	 * The last event of an answer that failed after it began.
	 * @param failure the failure
	 * @return the event
	 */
	static byte[] failed(ServingException failure) {
		return ("event: error\ndata: " + ErrorBody.json(failure) + "\n\n").getBytes(StandardCharsets.UTF_8);
	}

	byte[] whole(CharSequence text, EngineUsage usage) {
		StringBuilder json = new StringBuilder(text.length() + 4 * EVENT_OVERHEAD);
		json.append(opening(this.kind.wholeObject)).append(",\"choices\":[{\"index\":0,").append(this.kind.wholeStart);
		JsonStringEncoder.getInstance().quoteAsString(text, json);
		json.append(this.kind.wholeEnd).append(",\"finish_reason\":\"").append(usage.finishReason()).append("\"}],");
		return usage(json, usage).append('}').toString().getBytes(StandardCharsets.UTF_8);
	}

	private StringBuilder event(long offset) {
		return new StringBuilder(this.head.length() + 2 * EVENT_OVERHEAD).append("id: ")
			.append(offset)
			.append('\n')
			.append(this.head);
	}

	private String opening(String object) {
		StringBuilder json = new StringBuilder("{\"id\":\"").append(this.id);
		json.append("\",\"object\":\"").append(object);
		json.append("\",\"created\":").append(this.created);
		json.append(",\"model\":\"");
		JsonStringEncoder.getInstance().quoteAsString(this.model, json);
		return json.append('"').toString();
	}

	private static StringBuilder usage(StringBuilder json, EngineUsage usage) {
		json.append("\"usage\":{\"prompt_tokens\":").append(usage.promptTokens());
		json.append(",\"completion_tokens\":").append(usage.answerTokens());
		json.append(",\"total_tokens\":").append(usage.promptTokens() + usage.answerTokens());
		json.append(",\"prompt_tokens_details\":{\"cached_tokens\":").append(usage.cachedTokens());
		return json.append("}}");
	}

	/**
	 * Which of the two usual forms an answer has.
	 */
	enum Kind {

		/** The form of chat completions. */
		CHAT("chat.completion.chunk", "chat.completion", "\"delta\":{\"role\":\"assistant\"}", "\"delta\":{}",
				"\"delta\":{\"content\":\"", "\"}", "\"message\":{\"role\":\"assistant\",\"content\":\"", "\"}"),

		/** The form of text completions. */
		TEXT("text_completion", "text_completion", "\"text\":\"\"", "\"text\":\"\"", "\"text\":\"", "\"", "\"text\":\"",
				"\"");

		private final String chunkObject;

		private final String wholeObject;

		private final String firstPart;

		private final String emptyPart;

		private final String textStart;

		private final String textEnd;

		private final String wholeStart;

		private final String wholeEnd;

		Kind(String chunkObject, String wholeObject, String firstPart, String emptyPart, String textStart,
				String textEnd, String wholeStart, String wholeEnd) {
			this.chunkObject = chunkObject;
			this.wholeObject = wholeObject;
			this.firstPart = firstPart;
			this.emptyPart = emptyPart;
			this.textStart = textStart;
			this.textEnd = textEnd;
			this.wholeStart = wholeStart;
			this.wholeEnd = wholeEnd;
		}

	}

}
