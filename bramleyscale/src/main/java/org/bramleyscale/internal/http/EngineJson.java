package org.bramleyscale.internal.http;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import org.bramleyscale.EndpointId;
import org.bramleyscale.RequestId;
import org.bramleyscale.internal.endpoint.CacheEvent;
import org.bramleyscale.internal.endpoint.EngineFrame;
import org.bramleyscale.internal.endpoint.EngineHold;
import org.bramleyscale.internal.endpoint.EngineOrder;
import org.bramleyscale.internal.endpoint.EngineRequest;
import org.bramleyscale.internal.endpoint.EngineUsage;
import org.bramleyscale.internal.endpoint.LoadReport;

/**
 * Reads and writes the JSON of the engines' wire API.
 *
 * <p>
 * Frames are read token by token without a tree, since there is one for each batch of
 * tokens. Stateless and safe for use by multiple threads.
 */
final class EngineJson {

	private static final ObjectMapper MAPPER = JsonMapper.builder().build();

	private static final JsonFactory FACTORY = MAPPER.getFactory();

	private static final int REQUEST_OVERHEAD = 512;

	private EngineJson() {
	}

	static byte[] request(EngineRequest request) throws IOException {
		ByteArrayOutputStream bytes = new ByteArrayOutputStream(request.prompt().length() + REQUEST_OVERHEAD);
		try (JsonGenerator json = FACTORY.createGenerator(bytes)) {
			json.writeStartObject();
			json.writeStringField("id", request.id().toString());
			json.writeNumberField("attempt", request.attempt());
			json.writeStringField("model", request.model().value());
			json.writeStringField("prompt", request.prompt());
			json.writeStringField("delivered", request.delivered());
			json.writeNumberField("firstOffset", request.firstOffset());
			json.writeNumberField("maxTokens", request.maxTokens());
			json.writeNumberField("priority", request.priority());
			json.writeNumberField("timeLeftMillis", request.timeLeft().toMillis());
			json.writeArrayFieldStart("holds");
			for (String hold : request.holds()) {
				json.writeString(hold);
			}
			json.writeEndArray();
			json.writeEndObject();
		}
		return bytes.toByteArray();
	}

	/**
	 * Reads a frame.
	 * @param expected the request whose frames are expected; its id isn't parsed again
	 * @param bytes holds the JSON
	 * @param offset where it begins
	 * @param length how long it is
	 * @return the frame
	 * @throws IOException if it isn't one
	 */
	static EngineFrame frame(RequestId expected, byte[] bytes, int offset, int length) throws IOException {
		RequestId id = null;
		int attempt = 0;
		long first = 0;
		int tokens = 0;
		String text = "";
		try (JsonParser json = FACTORY.createParser(bytes, offset, length)) {
			json.nextToken();
			while (json.nextToken() == JsonToken.FIELD_NAME) {
				String name = json.currentName();
				json.nextToken();
				switch (name) {
					case "id":
						id = id(expected, json.getText());
						break;
					case "attempt":
						attempt = json.getIntValue();
						break;
					case "offset":
						first = json.getLongValue();
						break;
					case "tokens":
						tokens = json.getIntValue();
						break;
					case "text":
						text = json.getText();
						break;
					default:
						json.skipChildren();
				}
			}
		}
		return new EngineFrame(id, attempt, first, tokens, text);
	}

	private static RequestId id(RequestId expected, String text) throws IOException {
		if (text.equals(expected.toString())) {
			return expected;
		}
		try {
			return RequestId.parse(text);
		}
		catch (IllegalArgumentException ex) {
			throw new IOException("a frame names the request '" + text + "'", ex);
		}
	}

	static EngineUsage usage(byte[] bytes, int offset, int length) throws IOException {
		return MAPPER.readValue(bytes, offset, length, EngineUsage.class);
	}

	static JsonNode tree(byte[] bytes) throws IOException {
		return MAPPER.readTree(bytes);
	}

	static LoadReport report(EndpointId endpoint, byte[] bytes) throws IOException {
		JsonNode json = tree(bytes);
		List<String> models = new ArrayList<>();
		json.path("models").forEach((model) -> models.add(model.asText()));
		return new LoadReport(endpoint, json.path("boot").asLong(), json.path("sequence").asLong(),
				json.path("running").asInt(), json.path("waiting").asInt(), json.path("slots").asInt(),
				json.path("queuedPrefillTokens").asLong(), json.path("kvUsed").asLong(),
				json.path("kvCapacity").asLong(), json.path("leaving").asBoolean(), models);
	}

	static List<CacheEvent> cacheEvents(byte[] bytes) throws IOException {
		List<CacheEvent> events = new ArrayList<>();
		for (JsonNode event : tree(bytes).path("events")) {
			events.add(new CacheEvent(event.path("sequence").asLong(), event.path("prefix").asLong(),
					event.path("stored").asBoolean()));
		}
		return events;
	}

	static byte[] order(EngineOrder order) throws IOException {
		return MAPPER.writeValueAsBytes(MAPPER.createObjectNode()
			.put("kind", order.kind().name())
			.put("desired", order.desired())
			.put("fence", order.fence()));
	}

	static byte[] hold(EngineHold hold) throws IOException {
		return MAPPER.writeValueAsBytes(MAPPER.createObjectNode()
			.put("holder", hold.holder())
			.put("kvTokens", hold.kvTokens())
			.put("expiresInMillis", hold.expiresIn().toMillis()));
	}

	static List<EngineHold> holds(byte[] bytes) throws IOException {
		List<EngineHold> holds = new ArrayList<>();
		for (JsonNode hold : tree(bytes).path("holds")) {
			holds.add(new EngineHold(hold.path("hold").asText(), hold.path("holder").asText(),
					hold.path("kvTokens").asLong(), Duration.ofMillis(hold.path("expiresInMillis").asLong())));
		}
		return holds;
	}

}
