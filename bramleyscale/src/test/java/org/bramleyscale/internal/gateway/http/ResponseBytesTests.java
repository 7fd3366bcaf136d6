package org.bramleyscale.internal.gateway.http;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.stream.LongStream;

import com.google.common.net.HostAndPort;
import com.google.common.truth.Truth;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.util.ReferenceCountUtil;
import org.bramleyscale.DataCentre;
import org.bramleyscale.ServiceName;
import org.bramleyscale.internal.gateway.backend.Backend;
import org.bramleyscale.internal.gateway.backend.EndpointStart;
import org.bramleyscale.internal.gateway.log.DecisionLog;
import org.bramleyscale.internal.gateway.request.CallerRequest;
import org.bramleyscale.internal.gateway.request.OutgoingRequest;
import org.bramleyscale.internal.time.ManualScheduler;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Plays drawn bytes of endpoints against the handlers of a connection: responses of all
 * framings, and copies, parts of copies and other bytes at any moment and in any pieces.
 * Other seeds: {@code -Dbytes.seeds=17,18}.
 */
class ResponseBytesTests {

	private static final int MAX_REQUESTS = 5;

	/** An endpoint that works on a request for longer than bytes may be overdue. */
	private static final Duration LONG_WORK = Duration.ofSeconds(2);

	private static final Backend ENDPOINT = new Backend(EndpointStart.withUnknownStart("e1"), new ServiceName("yard"),
			HostAndPort.fromParts("127.0.0.1", 1), new DataCentre("east"), 4, false);

	/** The response to a request on another connection. */
	private static final ScriptedResponse EARLIER = ScriptedResponse.draw(new Random(1), "earlier", false);

	static LongStream seeds() {
		String given = System.getProperty("bytes.seeds");
		return (given != null) ? LongStream.of(List.of(given.split(",")).stream().mapToLong(Long::parseLong).toArray())
				: LongStream.rangeClosed(1, 40);
	}

	/**
	 * Guards against a response that is put together from the bytes of several, and
	 * against a request on a connection with bytes that belong to no whole response.
	 */
	@ParameterizedTest
	@MethodSource("seeds")
	void callersReceiveTheirOwnResponseOrNone(long seed) {
		Random random = new Random(seed);
		for (int i = 0; i < 500; i++) {
			new DrawnConnection(random, seed + ", connection " + i, true).play();
		}
	}

	/** Guards against failing requests whose endpoint sends nothing but responses. */
	@ParameterizedTest
	@MethodSource("seeds")
	void soundResponsesReachTheirCallersOnOneConnection(long seed) {
		Random random = new Random(seed);
		for (int i = 0; i < 100; i++) {
			new DrawnConnection(random, seed + ", connection " + i, false).play();
		}
	}

	/**
	 * One connection, the requests on it, and the bytes that come back.
	 */
	private static final class DrawnConnection {

		private final Random random;

		private final String name;

		private final boolean faulty;

		private final ManualScheduler scheduler = new ManualScheduler();

		private final IdleConnections idle = new IdleConnections(this.scheduler, DecisionLog.NONE);

		private final EmbeddedChannel channel = new EmbeddedChannel();

		private final BackendChannel connection;

		private final List<ScriptedResponse> sent = new ArrayList<>();

		private final PiecewiseDelivery delivery;

		private boolean accounted = true;

		private DrawnConnection(Random random, String name, boolean faulty) {
			this.random = random;
			this.name = name;
			this.faulty = faulty;
			this.delivery = new PiecewiseDelivery(random, this.channel);
			BackendChannel.addTo(this.channel, ENDPOINT.start(), this.idle);
			this.connection = this.channel.pipeline().get(BackendChannel.class);
		}

		private void play() {
			boolean reusable = true;
			for (int i = 0; i < MAX_REQUESTS && reusable; i++) {
				playRequest("r" + i);
				deliver(stray(0.2));
				reusable = this.idle.take(ENDPOINT.start()) == this.connection;
				Truth.assertWithMessage("reused if all bytes are accounted for, %s", this)
					.that(reusable)
					.isEqualTo(this.accounted);
			}
			this.channel.finishAndReleaseAll();
		}

		private void playRequest(String id) {
			boolean headOnly = this.random.nextInt(10) == 0;
			RecordedResponse received = new RecordedResponse();
			this.connection.send(new BackendCall(new PlainDialect(), ENDPOINT, request(id, headOnly), received));
			ReferenceCountUtil.release(this.channel.readOutbound());
			StrayBytes before = stray(0.3);
			if (this.sent.isEmpty() && before.bytes().equals(EARLIER.unnamed())) {
				// On a new connection a failure counts by its position.
				before = StrayBytes.NONE;
			}
			boolean soundBefore = before.soundBeforeResponse() || (before.whole() && !headOnly);
			this.accounted &= before.soundBeforeResponse();
			this.delivery.deliver(before.bytes());
			if (this.random.nextInt(4) == 0) {
				this.scheduler.advance(LONG_WORK);
			}
			ScriptedResponse response = ScriptedResponse.draw(this.random, id, headOnly);
			ScriptedResponse second = this.faulty ? drawSecond(id, headOnly) : null;
			if (second == null) {
				deliverResponse(response);
			}
			else {
				deliverTorn(response, second);
			}
			if (received.whole()) {
				Truth.assertWithMessage("%s received as the response to %s, %s", received, id, this)
					.that(received.is(response) || (second != null && received.is(second)))
					.isTrue();
			}
			if (soundBefore && second == null) {
				Truth.assertWithMessage("%s received after nothing but whole responses, %s", received, this)
					.that(received.whole())
					.isTrue();
			}
			this.sent.add(response);
			if (!received.ended()) {
				this.scheduler.advance(LONG_WORK);
			}
			if (second == null) {
				Truth.assertWithMessage("request %s has ended, %s", id, this).that(received.ended()).isTrue();
			}
		}

		/**
		 * Draws what follows a response that is broken off in its body.
		 * @param id the id of the request
		 * @param headOnly whether it asks for the head only
		 * @return another response to it or a copy of an earlier one, or null if the
		 * response isn't broken off
		 */
		private ScriptedResponse drawSecond(String id, boolean headOnly) {
			return switch (this.random.nextInt(20)) {
				case 0 -> ScriptedResponse.draw(this.random, id, headOnly);
				case 1 -> this.sent.isEmpty() ? null : this.sent.get(this.random.nextInt(this.sent.size()));
				default -> null;
			};
		}

		/**
		 * Delivers a response that is broken off, and what follows it at once.
		 * @param response the response
		 * @param second what follows
		 */
		private void deliverTorn(ScriptedResponse response, ScriptedResponse second) {
			this.accounted = false;
			this.delivery.deliverAtOnce(response.cutInItsBody(this.random) + second.bytes());
			this.channel.pipeline().fireUserEventTriggered(ChannelInputShutdownEvent.INSTANCE);
			this.channel.close();
		}

		/**
		 * Delivers a response together with the bytes that the endpoint sends at once.
		 * @param response the response
		 */
		private void deliverResponse(ScriptedResponse response) {
			boolean byConnection = response.framing() == ScriptedResponse.Framing.CONNECTION;
			StrayBytes with = byConnection ? StrayBytes.NONE : stray(0.2);
			this.accounted &= with.bytes().isEmpty();
			this.delivery.deliver(response.bytes() + with.bytes());
			if (byConnection) {
				this.accounted = false;
				this.channel.pipeline().fireUserEventTriggered(ChannelInputShutdownEvent.INSTANCE);
				this.channel.close();
			}
		}

		private StrayBytes stray(double probability) {
			if (!this.faulty || this.random.nextDouble() >= probability) {
				return StrayBytes.NONE;
			}
			return StrayBytes.draw(this.random, this.sent.isEmpty() ? List.of(EARLIER) : this.sent);
		}

		private void deliver(StrayBytes stray) {
			this.accounted &= stray.bytes().isEmpty();
			this.delivery.deliver(stray.bytes());
		}

		private static OutgoingRequest request(String id, boolean headOnly) {
			CallerRequest request = new CallerRequest(id, headOnly ? "HEAD" : "GET", "/quotes", "hire.example",
					List.of(), new byte[0], Optional.empty(), Optional.empty(), 0, 0, Optional.empty(), List.of());
			return new OutgoingRequest(request, Optional.empty(), Duration.ofSeconds(5), Optional.empty(), List.of(), 5,
					false);
		}

		@Override
		public String toString() {
			return "seed " + this.name + ", all bytes: " + this.delivery;
		}

	}

}
