package org.bramleyscale.internal.gateway.node;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import com.codahale.metrics.MetricRegistry;
import com.google.common.net.HostAndPort;
import com.google.common.truth.Truth;
import org.bramleyscale.DataCentre;
import org.bramleyscale.EndpointId;
import org.bramleyscale.ServiceName;
import org.bramleyscale.internal.gateway.backend.Backend;
import org.bramleyscale.internal.gateway.backend.BackendHealth;
import org.bramleyscale.internal.gateway.backend.BackendTable;
import org.bramleyscale.internal.gateway.backend.EndpointStart;
import org.bramleyscale.internal.gateway.catalog.Catalog;
import org.bramleyscale.internal.gateway.catalog.ColdStart;
import org.bramleyscale.internal.gateway.catalog.Service;
import org.bramleyscale.internal.gateway.follow.ObjectCopy;
import org.bramleyscale.internal.gateway.limit.ColdBounds;
import org.bramleyscale.internal.gateway.limit.ColdEndpoints;
import org.bramleyscale.internal.gateway.limit.SoleDaemon;
import org.bramleyscale.internal.gateway.load.EndpointLoad;
import org.bramleyscale.internal.gateway.load.LoadTracker;
import org.bramleyscale.internal.gateway.log.DecisionLog;
import org.bramleyscale.internal.platform.StoreRevision;
import org.bramleyscale.internal.time.ManualScheduler;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests of {@link BackendEntries} with entries whose text is the time of the start, or
 * can't be read.
 */
class BackendEntriesTests {

	private static final ServiceName SERVICE = new ServiceName("quotes");

	private static final String LEAVES = " leaves";

	private final ManualScheduler scheduler = new ManualScheduler();

	private final List<String> lines = new ArrayList<>();

	private final BackendTable backends = new BackendTable(this.scheduler, DecisionLog.NONE);

	private final BackendHealth health = new BackendHealth(this.scheduler, DecisionLog.NONE);

	private final LoadTracker loads = new LoadTracker(this.scheduler);

	private final BackendEntries entries = new BackendEntries(new NumberDocuments(), this.backends, this.health,
			this.loads, () -> Duration.ZERO, (kind, subject, fields) -> this.lines.add(List.of(fields).toString()));

	private long revision;

	@Test
	void stateOfAnEarlierStartIsDiscarded() {
		// Symptom: an idle engine gets no requests for seconds. Sequence: it crashes with
		// active requests and starts again under the same id. Cause: its failures and its
		// load were recorded by id.
		put("a", "1000");
		EndpointStart first = this.backends.usable(SERVICE).get(0).start();
		this.loads.begin(first, 500, 10_000, true, 250);
		this.health.failed(first);
		this.health.failed(first);
		put("a", "2000");
		EndpointStart second = this.backends.usable(SERVICE).get(0).start();
		Truth.assertThat(second).isNotEqualTo(first);
		Truth.assertThat(this.loads.load(second)).isEqualTo(EndpointLoad.IDLE);
		Truth.assertThat(this.health.avoid(second)).isFalse();
	}

	@Test
	void lateOutcomeOfAnEarlierStartIsIgnored() {
		put("a", "1000");
		EndpointStart first = this.backends.usable(SERVICE).get(0).start();
		put("a", "2000");
		this.health.unreachable(first, "silent");
		this.health.failed(first);
		this.health.failed(first);
		Truth.assertThat(this.health.avoid(this.backends.usable(SERVICE).get(0).start())).isFalse();
	}

	@ParameterizedTest
	@ValueSource(strings = { "", "x", "{}" })
	void unreadableEntryProvidesNoEndpointAndTheOthersStay(String text) {
		// Symptom: requests are sent to an endpoint that has left. Sequence: a readable
		// entry is overwritten with other content. Cause: the last readable copy remained
		// in use.
		put("a", "1000");
		put("b", "1000");
		put("a", text);
		Truth.assertThat(ids()).containsExactly("b");
		put("a", "1000");
		Truth.assertThat(ids()).containsExactly("a", "b");
	}

	@Test
	void logsOnceWhyAnEntryCannotBeRead() {
		for (int i = 0; i < 100; i++) {
			put("a", "x" + i);
		}
		Truth.assertThat(this.lines).hasSize(1);
		Truth.assertThat(this.lines.get(0)).contains("x0");
	}

	@Test
	void deletionOfAnEntryThatWasNeverReadableHasNoEffect() {
		put("a", "x");
		this.entries.changed(new ObjectCopy("a", ++this.revision, null));
		Truth.assertThat(ids()).isEmpty();
	}

	/**
	 * Guards against a cold endpoint that gets too many requests because its entry was
	 * unreadable or missing for a moment, and against one that is offered as warm first.
	 */
	@ParameterizedTest
	@ValueSource(booleans = { true, false })
	void entryThatBecomesUnreadableOrVanishesDoesNotEndColdness(boolean unreadable) {
		SoleDaemon daemon = new SoleDaemon(3);
		Catalog catalog = Catalog.builder(1)
			.service(new Service(SERVICE, 9, Optional.empty()).withColdStart(new ColdStart(17, Duration.ofSeconds(20))))
			.build();
		ColdEndpoints cold = ColdEndpoints.create(this.scheduler, daemon, daemon, SoleDaemon.SELF,
				Optional.of(new ColdBounds(1.5, 5)), () -> Optional.of(catalog), DecisionLog.NONE,
				new MetricRegistry());
		this.entries.reportTo(cold);
		put("a", "1000");
		EndpointStart start = this.backends.usable(SERVICE).get(0).start();
		Truth.assertThat(cold.permits(start)).isFalse();
		if (unreadable) {
			put("a", "x");
		}
		else {
			this.entries.changed(new ObjectCopy("a", ++this.revision, null));
		}
		cold.expire();
		Truth.assertThat(cold.permits(start)).isFalse();
		this.scheduler.advance(NumberDocuments.COLD);
		Truth.assertThat(cold.permits(start)).isTrue();
	}

	private List<String> ids() {
		return this.backends.usable(SERVICE).stream().map((backend) -> backend.id().value()).toList();
	}

	/**
	 * Guards against a leaving endpoint that the store's older copy makes ready again.
	 */
	@Test
	void endpointThatLeavesStaysLeavingInTheFirstStateOfAnEra() {
		putAt(StoreRevision.of(1, 50), "1000");
		putAt(StoreRevision.of(1, 60), "1000" + LEAVES);
		putAt(StoreRevision.of(2, 50), "1000");
		Truth.assertThat(ids()).isEmpty();
		putAt(StoreRevision.of(3, 50), "1000");
		Truth.assertThat(ids()).isEmpty();
		putAt(StoreRevision.of(3, 55), "1000");
		Truth.assertThat(ids()).containsExactly("a");
	}

	/** Guards against sending to what uses the address of an endpoint that is gone. */
	@ParameterizedTest
	@CsvSource({ "stays, true", "writes, true", "expires, false" })
	void endpointThatWasGoneReturnsOnlyIfItStaysListedOrWritesAgain(String then, boolean returns) {
		putAt(StoreRevision.of(1, 50), "1000");
		this.entries.changed(new ObjectCopy("a", StoreRevision.of(1, 60), null));
		this.scheduler.advance(BackendTable.LAPSE_GRACE_PERIOD);
		this.backends.expire();
		putAt(StoreRevision.of(2, 50), "1000");
		Truth.assertThat(ids()).isEmpty();
		if (then.equals("writes")) {
			putAt(StoreRevision.of(2, 55), "1000");
			Truth.assertThat(ids()).containsExactly("a");
		}
		if (then.equals("expires")) {
			this.entries.changed(new ObjectCopy("a", StoreRevision.of(2, 55), null));
		}
		this.scheduler.advance(BackendTable.REMOVAL_PERIOD);
		this.backends.expire();
		Truth.assertThat(ids().contains("a")).isEqualTo(returns);
	}

	/** Guards against withholding an endpoint that registers after the store's return. */
	@ParameterizedTest
	@CsvSource({ "1000, 70", "2000, 50" })
	void endpointThatRegistersAgainOrRestartsIsUsedAtOnce(String text, long revisionAfter) {
		putAt(StoreRevision.of(1, 50), "1000");
		this.entries.changed(new ObjectCopy("a", StoreRevision.of(1, 60), null));
		putAt(StoreRevision.of(2, revisionAfter), text);
		Truth.assertThat(ids()).containsExactly("a");
	}

	private void putAt(long at, String text) {
		this.entries.changed(new ObjectCopy("a", at, text.getBytes(StandardCharsets.UTF_8)));
	}

	private void put(String name, String text) {
		this.entries.changed(new ObjectCopy(name, ++this.revision, text.getBytes(StandardCharsets.UTF_8)));
	}

	/**
	 * Reads entries whose text is a number.
	 */
	private static final class NumberDocuments implements Documents {

		private static final Duration COLD = Duration.ofSeconds(7);

		@Override
		public Duration coldRemaining(String name, byte[] value) {
			return COLD;
		}

		@Override
		public String catalogKind() {
			return "catalogs";
		}

		@Override
		public String catalogName() {
			return "main";
		}

		@Override
		public String backendKind() {
			return "endpoints";
		}

		@Override
		public String evacuationKind() {
			return "evacuations";
		}

		@Override
		public Catalog catalog(byte[] value) {
			throw new UnsupportedOperationException("no catalog here");
		}

		@Override
		public Backend backend(String name, byte[] value) throws DocumentException {
			String text = new String(value, StandardCharsets.UTF_8);
			try {
				boolean draining = text.endsWith(LEAVES);
				long start = Long.parseLong(text.replace(LEAVES, ""));
				return new Backend(new EndpointStart(new EndpointId(name), start), SERVICE,
						HostAndPort.fromParts("10.0.0.1", 80), new DataCentre("east"), 4, draining);
			}
			catch (NumberFormatException ex) {
				throw new DocumentException("entry " + name + " was " + text, ex);
			}
		}

	}

}
