package org.bramleyscale.daemon.demo.load;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import org.bramleyscale.internal.time.Scheduler;

/**
 * Asks the system which entries to use and keeps the answer as long as it says.
 *
 * <p>
 * When no entry answers, the old answer goes on being used. Confined to the scheduler's
 * thread.
 */
final class AddressKeeper {

	private static final JsonMapper MAPPER = JsonMapper.builder().build();

	private static final Duration TIMEOUT = Duration.ofSeconds(2);

	private static final Duration PAUSE = Duration.ofMillis(200);

	private final CallerClient client;

	private final Scheduler scheduler;

	private final List<String> bootstrap;

	private final List<Consumer<List<Entry>>> waiting = new ArrayList<>();

	private List<Entry> entries = List.of();

	private long expiryNanos;

	private boolean asking;

	AddressKeeper(CallerClient client, Scheduler scheduler, List<String> bootstrap) {
		this.client = client;
		this.scheduler = scheduler;
		this.bootstrap = List.copyOf(bootstrap);
		this.expiryNanos = scheduler.nanos();
	}

	/**
	 * Gives the entries, asking for them if the kept answer is too old.
	 * @param consumer takes the entries, the preferred one first; never empty
	 */
	void entries(Consumer<List<Entry>> consumer) {
		if (!this.entries.isEmpty() && this.scheduler.nanos() - this.expiryNanos < 0) {
			consumer.accept(this.entries);
			return;
		}
		this.waiting.add(consumer);
		if (!this.asking) {
			this.asking = true;
			ask(List.copyOf(known()), 0);
		}
	}

	/**
	 * Drops the kept answer's claim to be fresh, since an entry in it failed.
	 */
	void doubt() {
		this.expiryNanos = this.scheduler.nanos();
	}

	private void ask(List<String> addresses, int index) {
		if (index == addresses.size()) {
			nobodyAnswers();
			return;
		}
		this.client.whole(new CallerClient.Call(addresses.get(index), "GET", "/v1/addresses", Map.of(), "", TIMEOUT))
			.whenComplete((answer, failure) -> {
				if (failure != null || !answer.ok() || !take(answer.body())) {
					ask(addresses, index + 1);
				}
			});
	}

	private void nobodyAnswers() {
		if (this.entries.isEmpty()) {
			this.scheduler.schedule(PAUSE, () -> ask(List.copyOf(known()), 0));
			return;
		}
		this.expiryNanos = this.scheduler.nanos() + PAUSE.toNanos();
		deliver();
	}

	private boolean take(String body) {
		try {
			JsonNode answer = MAPPER.readTree(body);
			List<Entry> taken = new ArrayList<>();
			for (JsonNode entry : answer.path("entries")) {
				taken.add(new Entry(entry.path("address").asText(), entry.path("requestIdPrefix").asText()));
			}
			if (taken.isEmpty()) {
				return false;
			}
			this.entries = List.copyOf(taken);
			this.expiryNanos = this.scheduler.nanos()
					+ Duration.ofMillis(answer.path("keepForMillis").asLong()).toNanos();
			deliver();
			return true;
		}
		catch (JsonProcessingException ex) {
			return false;
		}
	}

	private void deliver() {
		this.asking = false;
		List<Consumer<List<Entry>>> consumers = List.copyOf(this.waiting);
		this.waiting.clear();
		consumers.forEach((consumer) -> consumer.accept(this.entries));
	}

	private Set<String> known() {
		Set<String> addresses = new LinkedHashSet<>();
		this.entries.forEach((entry) -> addresses.add(entry.address()));
		addresses.addAll(this.bootstrap);
		return addresses;
	}

}
