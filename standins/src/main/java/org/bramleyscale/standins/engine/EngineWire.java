package org.bramleyscale.standins.engine;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.io.JsonStringEncoder;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import org.bramleyscale.ErrorCode;
import org.bramleyscale.Ran;
import org.bramleyscale.internal.endpoint.EngineHold;
import org.bramleyscale.internal.endpoint.EngineOrder;
import org.bramleyscale.internal.endpoint.EngineUsage;
import org.bramleyscale.internal.endpoint.LoadReport;

/**
 * The JSON that engines take and give.
 *
 * <p>
 * Stateless and safe for use by multiple threads.
 */
public final class EngineWire {

	/** The media type of all bodies but streams. */
	public static final String JSON = "application/json";

	private static final ObjectMapper MAPPER = JsonMapper.builder().build();

	private EngineWire() {
	}

	static Generation generation(InputStream body) throws IOException {
		JsonNode json = MAPPER.readTree(body);
		List<String> holds = new ArrayList<>();
		json.path("holds").forEach((hold) -> holds.add(hold.asText()));
		return new Generation(new AttemptKey(json.path("id").asText(), json.path("attempt").asInt()),
				json.path("model").asText(), Prompt.of(json.path("prompt").asText()), json.path("delivered").asText(),
				json.path("firstOffset").asLong(), json.path("maxTokens").asInt(), json.path("priority").asInt(),
				holds);
	}

	static EngineOrder order(InputStream body) throws IOException {
		JsonNode json = MAPPER.readTree(body);
		return new EngineOrder(EngineOrder.Kind.valueOf(json.path("kind").asText()), json.path("desired").asText(),
				json.path("fence").asLong());
	}

	static EngineHold hold(String name, InputStream body) throws IOException {
		JsonNode json = MAPPER.readTree(body);
		return new EngineHold(name, json.path("holder").asText(), json.path("kvTokens").asLong(),
				Duration.ofMillis(json.path("expiresInMillis").asLong()));
	}

	/**
	 * Reads any JSON.
	 * @param body the JSON
	 * @return its tree
	 * @throws IOException if it isn't JSON
	 */
	public static JsonNode tree(InputStream body) throws IOException {
		return MAPPER.readTree(body);
	}

	/**
	 * Writes anything that Jackson can write.
	 * @param value the value
	 * @return the JSON
	 */
	public static byte[] json(Object value) {
		try {
			return MAPPER.writeValueAsBytes(value);
		}
		catch (JsonProcessingException ex) {
			throw new IllegalArgumentException("can't write " + value, ex);
		}
	}

	/**
	 * Writes a load report.
	 * @param report the report
	 * @return the JSON
	 */
	public static byte[] report(LoadReport report) {
		return json(MAPPER.createObjectNode()
			.put("boot", report.boot())
			.put("sequence", report.sequence())
			.put("running", report.running())
			.put("waiting", report.waiting())
			.put("slots", report.slots())
			.put("queuedPrefillTokens", report.queuedPrefillTokens())
			.put("kvUsed", report.kvUsed())
			.put("kvCapacity", report.kvCapacity())
			.put("leaving", report.leaving())
			.set("models", MAPPER.valueToTree(report.models())));
	}

	static byte[] holds(List<EngineHold> holds) {
		return json(Map.of("holds",
				holds.stream()
					.map((hold) -> MAPPER.createObjectNode()
						.put("hold", hold.hold())
						.put("holder", hold.holder())
						.put("kvTokens", hold.kvTokens())
						.put("expiresInMillis", hold.expiresIn().toMillis()))
					.toList()));
	}

	static byte[] error(ErrorCode code, Ran ran, String message) {
		return json(Map.of("code", code.name(), "ran", ran.name().toLowerCase(Locale.ROOT), "message", message));
	}

	static byte[] event(String name, byte[] json) {
		return ("event: " + name + "\ndata: " + new String(json, StandardCharsets.UTF_8) + "\n\n")
			.getBytes(StandardCharsets.UTF_8);
	}

	static byte[] usage(EngineUsage usage) {
		return json(usage);
	}

	/**
	 * The fixed part of an attempt's frames, up to the offset.
	 * @param key the attempt
	 * @return the part
	 */
	static String frameHead(AttemptKey key) {
		return "event: frame\ndata: {\"id\":\"" + key.id() + "\",\"attempt\":" + key.attempt() + ",\"offset\":";
	}

	static byte[] frame(String head, long offset, int tokens, String text) {
		StringBuilder event = new StringBuilder(head).append(offset).append(",\"tokens\":").append(tokens);
		event.append(",\"text\":\"");
		JsonStringEncoder.getInstance().quoteAsString(text, event);
		return event.append("\"}\n\n").toString().getBytes(StandardCharsets.UTF_8);
	}

}
