package org.bramleyscale.internal.gateway.http;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

import com.google.common.net.HostAndPort;
import com.google.common.truth.Truth;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import org.bramleyscale.DataCentre;
import org.bramleyscale.ServiceName;
import org.bramleyscale.internal.gateway.backend.Backend;
import org.bramleyscale.internal.gateway.backend.EndpointStart;
import org.bramleyscale.internal.gateway.log.DecisionLog;
import org.bramleyscale.internal.gateway.request.CallerRequest;
import org.bramleyscale.internal.gateway.request.OutgoingRequest;
import org.bramleyscale.internal.time.ManualScheduler;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Tests which connections are kept for further requests.
 */
class IdleConnectionsTests {

	private static final String RESPONSE = "HTTP/1.1 200 OK\r\nId: r1\r\nSignature: s\r\nContent-Length: 2\r\n\r\naa";

	private static final Backend ENDPOINT = new Backend(EndpointStart.withUnknownStart("e1"), new ServiceName("yard"),
			HostAndPort.fromParts("127.0.0.1", 1), new DataCentre("east"), 4, false);

	private final ManualScheduler scheduler = new ManualScheduler();

	private final IdleConnections idle = new IdleConnections(this.scheduler, DecisionLog.NONE);

	/**
	 * Guards against requests that fail because stray bytes arrive just after they were
	 * sent on a kept connection.
	 */
	@ParameterizedTest
	@CsvSource({ "HTTP/1.1 200 O", "HTTP/1.1 200 OK|Id: r1|Sig", "junk||", "|" })
	void noConnectionIsKeptToAnEndpointThatHasSentStrayBytes(String stray) {
		answered("");
		EmbeddedChannel faulty = answered(stray.replace("|", "\r\n"));
		Truth.assertThat(faulty.isActive()).isFalse();
		Truth.assertThat(this.idle.take(ENDPOINT.start())).isNull();
		answered("");
		Truth.assertThat(this.idle.take(ENDPOINT.start())).isNull();
		this.scheduler.advance(IdleConnections.DISTRUST_TIME);
		answered("");
		Truth.assertThat(this.idle.take(ENDPOINT.start())).isNotNull();
	}

	/** Guards against new connections because of whole responses that do no harm. */
	@Test
	void connectionsAreKeptToAnEndpointThatRespondsTwice() {
		answered("");
		EmbeddedChannel doubled = answered(RESPONSE);
		Truth.assertThat(doubled.isActive()).isFalse();
		Truth.assertThat(this.idle.take(ENDPOINT.start())).isNotNull();
	}

	@Test
	void idleConnectionIsClosedAfterItsTime() {
		EmbeddedChannel connection = answered("");
		this.scheduler.advance(IdleConnections.IDLE_TIMEOUT);
		Truth.assertThat(connection.isActive()).isFalse();
		Truth.assertThat(this.idle.take(ENDPOINT.start())).isNull();
	}

	/** Guards against closing a connection in use by the time of an earlier rest. */
	@Test
	void idleTimeStartsAnewWithEachRequest() {
		EmbeddedChannel connection = answered("");
		for (int i = 0; i < 10; i++) {
			this.scheduler.advance(IdleConnections.IDLE_TIMEOUT.dividedBy(3));
			answer(connection, this.idle.take(ENDPOINT.start()), "");
		}
		Truth.assertThat(connection.isActive()).isTrue();
	}

	private EmbeddedChannel answered(String stray) {
		EmbeddedChannel channel = new EmbeddedChannel();
		BackendChannel.addTo(channel, ENDPOINT.start(), this.idle);
		answer(channel, channel.pipeline().get(BackendChannel.class), stray);
		return channel;
	}

	private static void answer(EmbeddedChannel channel, BackendChannel connection, String stray) {
		CallerRequest request = new CallerRequest("r1", "GET", "/quotes", "hire.example", List.of(), new byte[0],
				Optional.empty(), Optional.empty(), 0, 0, Optional.empty(), List.of());
		OutgoingRequest outgoing = new OutgoingRequest(request, Optional.empty(), Duration.ofSeconds(5),
				Optional.empty(), List.of(), 5, false);
		connection.send(new BackendCall(new PlainDialect(), ENDPOINT, outgoing, new RecordedResponse()));
		channel.writeInbound(Unpooled.copiedBuffer(RESPONSE + stray, StandardCharsets.UTF_8));
	}

}
