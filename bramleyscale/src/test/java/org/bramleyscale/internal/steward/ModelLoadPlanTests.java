package org.bramleyscale.internal.steward;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

import com.google.common.truth.Truth;
import org.bramleyscale.DataCentre;
import org.bramleyscale.EndpointId;
import org.bramleyscale.ModelName;
import org.bramleyscale.ServiceName;
import org.bramleyscale.internal.configuration.EndpointEntry;
import org.bramleyscale.internal.endpoint.EngineOrder;
import org.bramleyscale.internal.endpoint.LoadReport;
import org.junit.jupiter.api.Test;

class ModelLoadPlanTests {

	private static final StewardSettings SETTINGS = StewardSettings.DEFAULT;

	private final ModelLoadPlan plan = new ModelLoadPlan(SETTINGS);

	private final Map<String, List<String>> desired = new TreeMap<>();

	private final Map<String, Set<String>> loaded = new TreeMap<>();

	private long now;

	private long boot = 1;

	@Test
	void givesNoOrdersWhenDesiredModelsAreLoaded() {
		engine("e1", List.of("m1"), "m1");
		Truth.assertThat(step()).isEmpty();
	}

	@Test
	void loadsOneCopyOfEachModelBeforeASecond() {
		engine("e1", List.of("m1"));
		engine("e2", List.of("m1"));
		engine("e3", List.of("m2"));
		Truth.assertThat(step()).containsExactly("e1 LOAD_MODEL m1", "e3 LOAD_MODEL m2").inOrder();
	}

	@Test
	void limitsConcurrentLoads() {
		engine("e1", List.of("m1"));
		engine("e2", List.of("m1"));
		engine("e3", List.of("m1"));
		Truth.assertThat(step()).hasSize(2);
		Truth.assertThat(step()).isEmpty();
		this.loaded.get("e1").add("m1");
		Truth.assertThat(step()).containsExactly("e3 LOAD_MODEL m1");
	}

	@Test
	void repeatsALoadThatTimesOut() {
		engine("e1", List.of("m1"));
		step();
		advance(SETTINGS.loadTimeout());
		Truth.assertThat(step()).containsExactly("e1 LOAD_MODEL m1");
	}

	@Test
	void repeatsALoadAfterTheEngineRestarted() {
		engine("e1", List.of("m1"));
		step();
		this.boot++;
		Truth.assertThat(step()).containsExactly("e1 LOAD_MODEL m1");
	}

	@Test
	void repeatsAFailedLoadOnlyAfterAPause() {
		engine("e1", List.of("m1"));
		step();
		this.plan.failed(new PlannedOrder(new EndpointId("e1"), EngineOrder.Kind.LOAD_MODEL, "m1"), this.now);
		Truth.assertThat(step()).isEmpty();
		advance(SETTINGS.repeatDelay());
		Truth.assertThat(step()).containsExactly("e1 LOAD_MODEL m1");
	}

	@Test
	void unloadsAModelThatNoEndpointDesires() {
		engine("e1", List.of("m1"), "m1", "old");
		Truth.assertThat(step()).containsExactly("e1 UNLOAD_MODEL old");
		Truth.assertThat(step()).isEmpty();
		advance(SETTINGS.repeatDelay());
		Truth.assertThat(step()).containsExactly("e1 UNLOAD_MODEL old");
	}

	@Test
	void keepsTheLastCopyUntilTheModelIsLoadedElsewhere() {
		// Guards against requests for a model being refused for minutes after the
		// register moved it from one engine to another. The failure occurs if both orders
		// are sent at once, since an unload is fast and a load is slow.
		engine("e1", List.of("m2"), "m1");
		engine("e2", List.of("m1"), "m2");
		Truth.assertThat(step()).containsExactly("e1 LOAD_MODEL m2", "e2 LOAD_MODEL m1");
		this.loaded.get("e2").add("m1");
		Truth.assertThat(step()).containsExactly("e1 UNLOAD_MODEL m1");
	}

	@Test
	void keepsOneOfTwoSurplusCopies() {
		// Guards against a model being left without a copy although two engines had it
		// loaded. The failure occurs when one change makes both copies surplus and each
		// is unloaded because the other still exists.
		engine("e1", List.of("m2"), "m1", "m2");
		engine("e2", List.of("m2"), "m1", "m2");
		engine("e3", List.of("m1"));
		Truth.assertThat(step()).containsExactly("e1 UNLOAD_MODEL m1", "e3 LOAD_MODEL m1");
	}

	@Test
	void unloadsTheLastCopyWhenTheLoadElsewhereTimesOut() {
		// Guards against a deadlock of two engines without memory for both models when
		// the register swaps their models. The failure occurs if each keeps its last copy
		// until the other has loaded its own.
		engine("e1", List.of("m2"), "m1");
		engine("e2", List.of("m1"), "m2");
		step();
		advance(SETTINGS.loadTimeout());
		Truth.assertThat(step()).contains("e1 UNLOAD_MODEL m1");
	}

	private void engine(String name, List<String> models, String... loadedModels) {
		this.desired.put(name, models);
		this.loaded.put(name, new TreeSet<>(Set.of(loadedModels)));
	}

	private void advance(Duration time) {
		this.now += time.toNanos();
	}

	private List<String> step() {
		advance(SETTINGS.reconcileInterval());
		List<ObservedEndpoint> endpoints = new ArrayList<>();
		this.desired.forEach((name, models) -> endpoints.add(observed(name, models)));
		List<PlannedOrder> orders = this.plan.next(endpoints, this.now);
		orders.forEach((order) -> this.plan.issued(order, this.boot, this.now));
		return orders.stream().map((order) -> order.endpoint() + " " + order.kind() + " " + order.model()).toList();
	}

	private ObservedEndpoint observed(String name, List<String> models) {
		EndpointId id = new EndpointId(name);
		List<ModelName> modelNames = models.stream().map(ModelName::new).toList();
		EndpointEntry entry = new EndpointEntry(id, new ServiceName("boards"), new DataCentre("quan1"), "127.0.0.1:1",
				modelNames, true, false);
		LoadReport report = new LoadReport(id, this.boot, 1, 0, 0, 1, 0, 0, 1, false,
				List.copyOf(this.loaded.get(name)));
		return new ObservedEndpoint(entry, report);
	}

}
