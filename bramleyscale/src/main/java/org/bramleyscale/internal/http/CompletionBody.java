package org.bramleyscale.internal.http;

import java.io.IOException;
import java.io.InputStream;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectReader;
import com.fasterxml.jackson.databind.json.JsonMapper;
import org.bramleyscale.ErrorCode;
import org.bramleyscale.Ran;
import org.bramleyscale.ServingException;
import org.bramleyscale.Step;

/**
 * The body of a completion request.
 *
 * <p>
 * Immutable and safe for use by multiple threads. Members that are not named here are
 * ignored, as callers' libraries send many.
 *
 * @param model the model's name as the caller wrote it
 * @param prompt the prompt's text
 * @param maxTokens the largest number of answer tokens
 * @param stream whether the answer is wanted as events
 */
record CompletionBody(String model, String prompt, int maxTokens, boolean stream) {

	private static final int DEFAULT_MAX_TOKENS = 256;

	private static final int LARGEST_MAX_TOKENS = 1_000_000;

	private static final int LONGEST_QUOTE = 40;

	private static final ObjectReader READER = JsonMapper.builder().build().readerFor(JsonNode.class);

	/**
	 * Reads a chat completion: each message becomes a line of role and content.
	 * @param body the body
	 * @return the request
	 * @throws ServingException if the body is not such a request
	 */
	static CompletionBody chat(InputStream body) throws ServingException {
		JsonNode tree = parse(body);
		return of(tree, messages(tree.path("messages")));
	}

	/**
	 * Reads a text completion.
	 * @param body the body
	 * @return the request
	 * @throws ServingException if the body is not such a request
	 */
	static CompletionBody text(InputStream body) throws ServingException {
		JsonNode tree = parse(body);
		return of(tree, string(tree, "prompt"));
	}

	private static JsonNode parse(InputStream body) throws ServingException {
		try {
			JsonNode tree = READER.readTree(body);
			if (!tree.isObject()) {
				throw bad("the body must be a JSON object");
			}
			return tree;
		}
		catch (JsonProcessingException ex) {
			throw bad("the body is not JSON: " + ex.getOriginalMessage());
		}
		catch (IOException ex) {
			throw bad("the body can't be read: " + ex.getMessage());
		}
	}

	private static CompletionBody of(JsonNode tree, String prompt) throws ServingException {
		return new CompletionBody(string(tree, "model"), prompt, maxTokens(tree.get("max_tokens")),
				stream(tree.get("stream")));
	}

	private static String messages(JsonNode messages) throws ServingException {
		if (!messages.isArray() || messages.isEmpty()) {
			throw bad("'messages' must be a list with at least one message");
		}
		StringBuilder prompt = new StringBuilder();
		for (JsonNode message : messages) {
			prompt.append(string(message, "role")).append(": ");
			content(message.path("content"), prompt);
			prompt.append('\n');
		}
		return prompt.toString();
	}

	private static void content(JsonNode content, StringBuilder prompt) throws ServingException {
		if (content.isTextual()) {
			prompt.append(content.textValue());
			return;
		}
		if (!content.isArray()) {
			throw bad("'content' must be a string or a list of text parts");
		}
		for (JsonNode part : content) {
			prompt.append(string(part, "text"));
		}
	}

	private static String string(JsonNode tree, String member) throws ServingException {
		JsonNode value = tree.path(member);
		if (!value.isTextual()) {
			throw bad("'" + member + "' must be a string, was " + shown(value));
		}
		return value.textValue();
	}

	private static int maxTokens(JsonNode value) throws ServingException {
		if (value == null || value.isNull()) {
			return DEFAULT_MAX_TOKENS;
		}
		if (!value.canConvertToInt() || value.intValue() < 1 || value.intValue() > LARGEST_MAX_TOKENS) {
			throw bad("'max_tokens' must be a whole number from 1 to " + LARGEST_MAX_TOKENS + ", was " + shown(value));
		}
		return value.intValue();
	}

	private static boolean stream(JsonNode value) throws ServingException {
		if (value == null || value.isNull()) {
			return false;
		}
		if (!value.isBoolean()) {
			throw bad("'stream' must be true or false, was " + shown(value));
		}
		return value.booleanValue();
	}

	private static String shown(JsonNode value) {
		String text = value.isMissingNode() ? "missing" : value.toString();
		return (text.length() > LONGEST_QUOTE) ? text.substring(0, LONGEST_QUOTE) + "..." : text;
	}

	private static ServingException bad(String message) {
		return new ServingException(ErrorCode.BAD_REQUEST, Ran.NO, Step.RECEIVE, EntryServer.SELF, message);
	}

}
