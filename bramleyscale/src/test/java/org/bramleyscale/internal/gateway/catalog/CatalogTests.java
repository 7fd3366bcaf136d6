package org.bramleyscale.internal.gateway.catalog;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;

import com.google.common.truth.Truth;
import org.bramleyscale.ClientAccountId;
import org.bramleyscale.ServiceName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Tests of {@link Catalog} and {@link CatalogHolder}.
 */
class CatalogTests {

	private final Catalog catalog = Catalog.builder(7)
		.route(route("all", "/"))
		.route(route("quotes", "/quotes/"))
		.route(route("bulk", "/quotes/bulk/"))
		.build();

	@ParameterizedTest
	@CsvSource({ "hire.example, /quotes/1, quotes", "hire.example, /quotes/bulk/1, bulk",
			"hire.example, /quotes/bulky, quotes", "HIRE.example:8080, /quotes/1, quotes",
			"hire.example, /other, all" })
	void findsTheLongestPrefix(String host, String path, String name) {
		Truth.assertThat(this.catalog.route(host, path).orElseThrow().name()).isEqualTo(name);
	}

	@ParameterizedTest
	@CsvSource({ "other.example, /quotes/1", "hire.example, quotes/1", "'', /quotes/1" })
	void findsNoRouteForOtherHostOrPath(String host, String path) {
		Truth.assertThat(this.catalog.route(host, path).isPresent()).isFalse();
	}

	@Test
	void keysAreNeededOnceThereIsAnAccountEvenWithoutKeys() {
		Catalog keyed = Catalog.builder(1)
			.account(new Account(new ClientAccountId("hule"), OptionalInt.empty()), List.of())
			.build();
		Truth.assertThat(keyed.keysNeeded()).isTrue();
		Truth.assertThat(keyed.account("any").isPresent()).isFalse();
	}

	/** Guards against routes that open once the last account is gone. */
	@Test
	void keysAreNeededWithoutAccounts() {
		Catalog keyed = Catalog.builder(1)
			.keysNeeded()
			.service(new Service(new ServiceName("quotes"), 9, Optional.empty()))
			.route(Route.builder("a", "hire.example", "/a/").service("quotes").priority(1).build())
			.route(Route.builder("b", "hire.example", "/b/").service("quotes").priority(2).build())
			.build();
		Truth.assertThat(keyed.keysNeeded()).isTrue();
		Truth.assertThat(keyed.service(new ServiceName("quotes")).orElseThrow().prioritiesDiffer()).isFalse();
	}

	@Test
	void rejectsOlderDocument() {
		// Guards against a revoked key that works again for a moment: version 9 is in
		// force when a peer sends version 8, and the last document to arrive would win.
		CatalogHolder holder = new CatalogHolder();
		Truth.assertThat(holder.offer(Catalog.builder(9).build())).isTrue();
		Truth.assertThat(holder.offer(Catalog.builder(8).build())).isFalse();
		Truth.assertThat(holder.offer(Catalog.builder(9).build())).isFalse();
		Truth.assertThat(holder.current().orElseThrow().version()).isEqualTo(9);
	}

	@ParameterizedTest
	@CsvSource({ "250, 300, 1000, 3000, 250, 3000", "600, 1500, 250, 300, 250, 1500", "0, 300, 600, 1500, 600, 1500",
			"0, 300, 0, 300, 1000, 1000" })
	void combinesStreamTargetsOfRoutes(long pause, long target, long otherPause, long otherTarget, long strictest,
			long slowest) {
		Catalog streams = Catalog.builder(1)
			.service(new Service(new ServiceName("quotes"), 9, Optional.empty()))
			.route(stream("a", pause, target))
			.route(stream("b", otherPause, otherTarget))
			.route(Route.builder("c", "hire.example", "/c/").service("yard").build())
			.build();
		Truth.assertThat(streams.service(new ServiceName("quotes")).orElseThrow().streamTargets())
			.isEqualTo(new StreamTargets(Duration.ofMillis(strictest), Duration.ofMillis(slowest)));
	}

	/**
	 * Guards against a queue for services whose requests are all alike, and against none
	 * where only the accounts differ. An account with priority -1 has none.
	 */
	@ParameterizedTest
	@CsvSource({ "0, 0, -1, -1, false", "0, 1, -1, -1, true", "3, 3, -1, 2, true", "3, 3, -1, 3, false",
			"0, 1, 2, 2, false", "0, 0, 1, 2, true" })
	void knowsWhetherPrioritiesOfAServiceDiffer(int route, int otherRoute, int account, int otherAccount,
			boolean differ) {
		Catalog priorities = Catalog.builder(1)
			.service(new Service(new ServiceName("quotes"), 9, Optional.empty()))
			.route(Route.builder("a", "hire.example", "/a/").service("quotes").priority(route).build())
			.route(Route.builder("b", "hire.example", "/b/").service("quotes").priority(otherRoute).build())
			.route(Route.builder("c", "hire.example", "/c/").service("yard").priority(7).build())
			.account(account("one", account), List.of("key-1"))
			.account(account("two", otherAccount), List.of("key-2"))
			.build();
		Truth.assertThat(priorities.service(new ServiceName("quotes")).orElseThrow().prioritiesDiffer())
			.isEqualTo(differ);
	}

	private static Account account(String name, int priority) {
		return new Account(new ClientAccountId(name), (priority >= 0) ? OptionalInt.of(priority) : OptionalInt.empty());
	}

	private static Route stream(String name, long pause, long target) {
		return Route.builder(name, "hire.example", "/" + name + "/")
			.service("quotes")
			.streaming(true)
			.longestPause(Duration.ofMillis(pause))
			.targetLatency(Duration.ofMillis(target))
			.build();
	}

	private static Route route(String name, String prefix) {
		return Route.builder(name, "hire.example", prefix).service("quotes").build();
	}

}
