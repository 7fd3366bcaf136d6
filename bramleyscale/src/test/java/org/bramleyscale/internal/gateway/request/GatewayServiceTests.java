package org.bramleyscale.internal.gateway.request;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;

import com.google.common.truth.Truth;
import org.bramleyscale.ClientAccountId;
import org.bramleyscale.ServiceName;
import org.bramleyscale.internal.gateway.catalog.Account;
import org.bramleyscale.internal.gateway.catalog.Catalog;
import org.bramleyscale.internal.gateway.catalog.Route;
import org.bramleyscale.internal.gateway.catalog.ServiceShare;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests of what {@link GatewayService} lets run under the catalog in force.
 */
class GatewayServiceTests {

	private final RelayFixture fixture = new RelayFixture();

	/** Guards against requests that run at a service without a share of their route. */
	@Test
	void aRouteWhoseServicesHaveNoWeightIsRefusedAtOnce() {
		offer(route(share("yard", 0), share("other", 0)).build());
		RecordingCaller caller = this.fixture.call("/split/1");
		Truth.assertThat(caller.received.toString()).isEqualTo("own 503");
		Truth.assertThat(caller.retryAfter).isEqualTo(Duration.ofSeconds(1));
		Truth.assertThat(this.fixture.sent).isEmpty();
	}

	@Test
	void aServiceWithoutWeightTakesNoRequests() {
		offer(route(share("other", 0), share("yard", 3)).build());
		for (int i = 0; i < 20; i++) {
			this.fixture.call("/split/1");
		}
		Truth.assertThat(this.fixture.lastPlacementRequest.service().name()).isEqualTo(new ServiceName("yard"));
		Truth.assertThat(this.fixture.sent).hasSize(20);
	}

	/** Guards against a key that works, or routes that open, once its account is gone. */
	@ParameterizedTest
	@ValueSource(booleans = { true, false })
	void aKeyThatWasTakenAwayIsRefused(boolean accountStays) {
		offer(2, Catalog.builder(2).account(account(), List.of("key")).route(route(share("yard", 1)).build()));
		this.fixture.call("/split/1");
		Catalog.Builder later = Catalog.builder(3).route(route(share("yard", 1)).build()).keysNeeded();
		offer(3, accountStays ? later.account(account(), List.of()) : later);
		Truth.assertThat(this.fixture.call("/split/2").received.toString()).isEqualTo("own 401");
		Truth.assertThat(this.fixture.sent).hasSize(1);
	}

	@ParameterizedTest
	@CsvSource({ "true, true, 1", "true, false, 0", "false, true, 1", "false, false, 1" })
	void keysAreAskedForUnlessTheRouteIsKeyless(boolean keysNeeded, boolean keyless, int sent) {
		Catalog.Builder catalog = Catalog.builder(2).route(route(share("yard", 1)).keyless(keyless).build());
		offer(2, keysNeeded ? catalog.keysNeeded() : catalog);
		this.fixture.call("/split/1");
		Truth.assertThat(this.fixture.sent).hasSize(sent);
	}

	@ParameterizedTest
	@CsvSource({ "/other/1, key, own 404", "/log/1, wrong, own 401" })
	void refusesUnknownRouteOrKey(String path, String key, String got) {
		RecordingCaller caller = new RecordingCaller();
		this.fixture.service.handle(request(path, key), caller);
		Truth.assertThat(caller.received.toString()).isEqualTo(got);
		Truth.assertThat(this.fixture.sent).isEmpty();
	}

	@ParameterizedTest
	@CsvSource({ "900, 1, ''", "1100, 0, own 503" })
	void leavingDaemonRefusesRequestsWithTooMuchTimeLeft(long left, int sent, String got) {
		this.fixture.maxTimeLeft = Duration.ofSeconds(1);
		RecordingCaller caller = this.fixture.call("/book/1", Duration.ofMillis(left));
		Truth.assertThat(this.fixture.sent).hasSize(sent);
		Truth.assertThat(caller.received.toString()).isEqualTo(got);
	}

	private void offer(Route route) {
		offer(2, Catalog.builder(2).route(route));
	}

	private void offer(long version, Catalog.Builder catalog) {
		Truth.assertWithMessage("version %s", version).that(this.fixture.catalogs.offer(catalog.build())).isTrue();
	}

	private static CallerRequest request(String path, String key) {
		return new CallerRequest("r1", "GET", path, "hire.example", List.of(), new byte[0], Optional.of(key),
				Optional.empty(), 0, 0, Optional.empty(), List.of());
	}

	private static Account account() {
		return new Account(new ClientAccountId("hule"), OptionalInt.empty());
	}

	private static ServiceShare share(String service, int weight) {
		return new ServiceShare(new ServiceName(service), weight);
	}

	private static Route.Builder route(ServiceShare... shares) {
		return Route.builder("split", "hire.example", "/split/")
			.services(List.of(shares))
			.timeout(Duration.ofSeconds(10))
			.targetLatency(Duration.ofMillis(300));
	}

}
