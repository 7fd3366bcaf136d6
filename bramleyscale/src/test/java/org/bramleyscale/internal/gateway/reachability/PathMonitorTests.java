package org.bramleyscale.internal.gateway.reachability;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

import com.google.common.net.HostAndPort;
import com.google.common.truth.Truth;
import org.bramleyscale.DataCentre;
import org.bramleyscale.ServiceName;
import org.bramleyscale.internal.gateway.backend.Backend;
import org.bramleyscale.internal.gateway.backend.BackendTable;
import org.bramleyscale.internal.gateway.backend.EndpointStart;
import org.bramleyscale.internal.gateway.log.DecisionLog;
import org.bramleyscale.internal.time.ManualScheduler;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Tests of {@link PathMonitor} with endpoints that accept connections or don't.
 */
class PathMonitorTests {

	private static final ServiceName ENGINES = new ServiceName("engines");

	private static final ServiceName YARD = new ServiceName("yard");

	/** How long connecting may take. */
	private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(250);

	private final ManualScheduler scheduler = new ManualScheduler();

	private final BackendTable backends = new BackendTable(this.scheduler, DecisionLog.NONE);

	private final Set<String> unreachable = new HashSet<>();

	private final List<String> attempts = new ArrayList<>();

	private final List<Set<ServiceName>> changes = new ArrayList<>();

	private final List<ServiceName> reached = new ArrayList<>();

	private boolean used = true;

	private final PathMonitor monitor = new PathMonitor(this.scheduler, this::connect, this.backends, new Random(1),
			DecisionLog.NONE);

	PathMonitorTests() {
		List.of("e1", "e2", "e3", "e4", "e5", "e6").forEach((id) -> add(id, ENGINES));
		List.of("y1", "y2", "y3").forEach((id) -> add(id, YARD));
		this.monitor.start(() -> this.used, () -> Duration.ofMillis(10), new PathMonitor.Listener() {

			@Override
			public void changed(Set<ServiceName> broken) {
				PathMonitorTests.this.changes.add(broken);
			}

			@Override
			public void reached(ServiceName service) {
				PathMonitorTests.this.reached.add(service);
			}

		});
		this.scheduler.advance(Duration.ofMillis(500));
		this.attempts.clear();
	}

	/** Guards against a path whose loss the first caller notices. */
	@ParameterizedTest
	@CsvSource({ "true, true", "false, false" })
	void usedDaemonNoticesALostPathWithoutTraffic(boolean callersUseIt, boolean noticed) {
		this.used = callersUseIt;
		this.unreachable.addAll(List.of("e1", "e2", "e3", "e4", "e5", "e6"));
		this.scheduler.advance(PathMonitor.MAX_SILENCE.plus(CONNECT_TIMEOUT.multipliedBy(3)));
		Truth.assertThat(this.monitor.lost(ENGINES)).isEqualTo(noticed);
		Truth.assertThat(this.monitor.lost(YARD)).isFalse();
	}

	/** Guards against taking the end of some endpoints for the loss of a path. */
	@ParameterizedTest
	@CsvSource({ "e1, false", "e1 e2, false", "e1 e2 e3, false", "e1 e2 e3 e4 e5 e6, true", "y1 y2, false",
			"y1 y2 y3, true" })
	void pathIsLostOnlyIfNoEndpointAccepts(String failing, boolean lost) {
		this.unreachable.addAll(List.of(failing.split(" ")));
		Backend first = backend(failing.split(" ")[0]);
		this.monitor.connectFailed(first, this.scheduler.nanos());
		this.scheduler.advance(CONNECT_TIMEOUT);
		Truth.assertThat(this.monitor.lost(first.service())).isEqualTo(lost);
	}

	/** Guards against a connection that failed while others succeeded. */
	@Test
	void failureOlderThanAConnectionProvesNothing() {
		long before = this.scheduler.nanos();
		this.scheduler.advance(Duration.ofMillis(1));
		this.monitor.connected(backend("e2"));
		this.monitor.connectFailed(backend("e1"), before);
		Truth.assertThat(this.attempts).isEmpty();
	}

	/** Guards against callers that come back each time a path works for a moment. */
	@Test
	void pathIsUsedAtOnceAndAnnouncedOnlyOnceItIsStable() {
		lose("e1", "e2", "e3", "e4", "e5", "e6");
		this.unreachable.clear();
		this.scheduler.advance(PathMonitor.CHECK_INTERVAL.multipliedBy(2).plus(CONNECT_TIMEOUT));
		Truth.assertThat(this.monitor.lost(ENGINES)).isFalse();
		Truth.assertThat(this.reached).containsExactly(ENGINES);
		Truth.assertThat(this.monitor.broken()).containsExactly(ENGINES);
		this.scheduler.advance(ServicePath.STABLE_AFTER.plus(PathMonitor.CHECK_INTERVAL));
		Truth.assertThat(this.monitor.broken()).isEmpty();
		Truth.assertThat(this.changes).containsExactly(Set.of(ENGINES), Set.of()).inOrder();
	}

	/** Guards against a daemon that never finds out that a peer's loss is its own too. */
	@ParameterizedTest
	@CsvSource({ "true, true", "false, false" })
	void lossOfAPeerIsVerifiedHere(boolean lostHere, boolean found) {
		this.used = false;
		if (lostHere) {
			this.unreachable.addAll(List.of("y1", "y2", "y3"));
		}
		this.scheduler.advance(Duration.ofSeconds(1));
		this.monitor.lostByPeer(List.of(YARD));
		this.scheduler.advance(CONNECT_TIMEOUT.multipliedBy(2));
		Truth.assertThat(this.monitor.lost(YARD)).isEqualTo(found);
	}

	/** Guards against a service that stays lost although its endpoints are others now. */
	@Test
	void endOfAServiceEndsItsLoss() {
		lose("y1", "y2", "y3");
		List.of("y1", "y2", "y3")
			.forEach((id) -> this.backends.remove(backend(id).id(), BackendTable.LAPSE_GRACE_PERIOD));
		Truth.assertThat(this.monitor.lost(YARD)).isFalse();
		this.scheduler.advance(PathMonitor.CHECK_INTERVAL);
		Truth.assertThat(this.monitor.broken()).isEmpty();
	}

	/** Guards against connections that only serve to check a path in steady use. */
	@Test
	void pathInUseIsNotChecked() {
		for (int i = 0; i < 20; i++) {
			this.monitor.connected(backend("e1"));
			this.monitor.connected(backend("y1"));
			this.scheduler.advance(Duration.ofMillis(500));
		}
		Truth.assertThat(this.attempts).isEmpty();
	}

	private void lose(String... ids) {
		this.unreachable.addAll(List.of(ids));
		this.monitor.connectFailed(backend(ids[0]), this.scheduler.nanos());
		this.scheduler.advance(CONNECT_TIMEOUT);
		Truth.assertThat(this.monitor.lost(backend(ids[0]).service())).isTrue();
	}

	private void add(String id, ServiceName service) {
		this.backends.put(new Backend(EndpointStart.withUnknownStart(id), service,
				HostAndPort.fromParts("10.0.0.1", 80), new DataCentre("east"), 4, false));
	}

	private Backend backend(String id) {
		return this.backends.all().stream().filter((each) -> each.id().value().equals(id)).findFirst().orElseThrow();
	}

	private CompletableFuture<ConnectionOutcome> connect(Backend endpoint) {
		this.attempts.add(endpoint.id().value());
		CompletableFuture<ConnectionOutcome> result = new CompletableFuture<>();
		boolean reachable = !this.unreachable.contains(endpoint.id().value());
		this.scheduler.schedule(reachable ? Duration.ofMillis(1) : CONNECT_TIMEOUT,
				() -> result.complete(reachable ? ConnectionOutcome.ACCEPTED : ConnectionOutcome.FAILED));
		return result;
	}

}
