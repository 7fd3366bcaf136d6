package org.bramleyscale.internal.gateway.catalog;

import java.util.List;
import java.util.OptionalInt;

import com.google.common.truth.Truth;
import org.bramleyscale.ClientAccountId;
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
	void knowsNoOtherHostOrPath(String host, String path) {
		Truth.assertThat(this.catalog.route(host, path).isPresent()).isFalse();
	}

	@Test
	void needsKeysOnceThereIsAnAccountEvenIfItHasNone() {
		Catalog keyed = Catalog.builder(1)
			.account(new Account(new ClientAccountId("hule"), OptionalInt.empty()), List.of())
			.build();
		Truth.assertThat(keyed.keysNeeded()).isTrue();
		Truth.assertThat(keyed.account("any").isPresent()).isFalse();
	}

	@Test
	void neverGoesBackToAnOlderDocument() {
		// Symptom: a key that was taken away works again for a moment. Sequence: version
		// 9
		// is in force, then a peer sends version 8, which it held. Cause: the last
		// document
		// that arrives would win.
		CatalogHolder holder = new CatalogHolder();
		Truth.assertThat(holder.offer(Catalog.builder(9).build())).isTrue();
		Truth.assertThat(holder.offer(Catalog.builder(8).build())).isFalse();
		Truth.assertThat(holder.offer(Catalog.builder(9).build())).isFalse();
		Truth.assertThat(holder.current().orElseThrow().version()).isEqualTo(9);
	}

	private static Route route(String name, String prefix) {
		return Route.builder(name, "hire.example", prefix).service("quotes").build();
	}

}
