package org.bramleyscale.standins.engine;

import java.net.InetAddress;
import java.time.Duration;
import java.util.List;

import com.google.common.truth.Truth;
import org.bramleyscale.DataCentre;
import org.bramleyscale.EndpointId;
import org.bramleyscale.Incarnation;
import org.bramleyscale.ModelName;
import org.bramleyscale.RequestId;
import org.bramleyscale.ServiceName;
import org.bramleyscale.VmId;
import org.bramleyscale.internal.configuration.EndpointEntry;
import org.bramleyscale.internal.endpoint.EngineRequest;
import org.bramleyscale.internal.http.HttpEngineClient;
import org.bramleyscale.internal.http.HttpExecution;
import org.bramleyscale.internal.time.EventLoop;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * The contract between the client for endpoints and an engine, over loopback.
 */
class EngineClientContractTests {

	private static final String PROMPT = "how much is a jaw crusher for a week";

	private final EventLoop loop = new EventLoop("engine-test");

	private final EngineServer engine = new EngineServer(new EndpointId("engine-1"), InetAddress.getLoopbackAddress(),
			0, EngineParameters.SMALL.withSpeed(1_000_000, 4096, Duration.ofMillis(1)), this.loop);

	private HttpExecution http;

	private HttpEngineClient client;

	@BeforeEach
	void start() throws Exception {
		this.engine.start();
		this.http = new HttpExecution(this.loop);
		this.client = new HttpEngineClient(this.loop, this.http);
	}

	@AfterEach
	void stop() throws Exception {
		this.client.close();
		this.http.close();
		this.engine.close();
		this.loop.close();
	}

	@Test
	void answersWholly() throws Exception {
		RecordingListener listener = new RecordingListener();
		this.loop.execute(() -> this.client.generate(entry(), request(1, 20), listener));
		RecordingListener.await(listener.completed);
		Truth.assertThat(listener.text()).isEqualTo(ExpectedAnswer.text(PROMPT, 0, 20));
	}

	private EndpointEntry entry() {
		return new EndpointEntry(new EndpointId("engine-1"), new ServiceName("hire"), new DataCentre("rawang"),
				"127.0.0.1:" + this.engine.port(), List.of(new ModelName("assist")), true, false);
	}

	private static EngineRequest request(int attempt, int maxTokens) {
		return new EngineRequest(new RequestId(new Incarnation(new VmId("entry-1"), 36), "7"), attempt,
				new ModelName("assist"), PROMPT, "", 0, maxTokens, 0, Duration.ofSeconds(10), List.of());
	}

}
