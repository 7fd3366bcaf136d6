package org.bramleyscale.internal.endpoint.pool;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;

import com.google.common.truth.Truth;
import org.bramleyscale.DataCentre;
import org.bramleyscale.EndpointId;
import org.bramleyscale.ServiceName;
import org.bramleyscale.VmId;
import org.bramleyscale.internal.configuration.Configuration;
import org.bramleyscale.internal.configuration.EndpointEntry;
import org.bramleyscale.internal.configuration.Register;
import org.bramleyscale.internal.configuration.Rules;
import org.bramleyscale.internal.configuration.ServiceEntry;
import org.bramleyscale.internal.configuration.VmEntry;
import org.bramleyscale.internal.endpoint.EndpointSettings;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class EndpointSubsetsTests {

	private static final int VMS = 90;

	private static final DataCentre LOCAL = dataCentre(0);

	private final EndpointSettings settings = EndpointSettings.builder().maxPairs(24).subsetSize(30).build();

	@ParameterizedTest
	@CsvSource({ "9, 1, 20, 20", "9, 1, 100, 30", "1700, 1, 100, 24", "1700, 4, 100, 6", "1700, 11, 100, 3" })
	void subsetsShrinkWithMoreServicesInUse(int members, int services, int endpoints, int expectedSize) {
		EndpointSubsets subsets = subsets("vm-1");
		subsets.update(configuration(services, endpoints), members);
		for (int service = 0; service < services; service++) {
			subsets.use(service(service), 0);
		}
		Truth.assertThat(subsets.subset(service(0))).hasSize(expectedSize);
	}

	@Test
	void twoThirdsOfSubsetAreFromOwnDataCentre() {
		EndpointSubsets subsets = subsets("vm-1");
		subsets.update(configuration(1, 300), 1_700);
		long local = subsets.use(service(0), 0).stream().filter((entry) -> entry.dataCentre().equals(LOCAL)).count();
		Truth.assertThat(local).isAtLeast(16);
	}

	@Test
	void endpointsAreEvenlySharedAmongEntries() {
		Map<EndpointId, Integer> users = new HashMap<>();
		for (int vm = 0; vm < VMS; vm++) {
			EndpointSubsets subsets = new EndpointSubsets(this.settings, new VmId("vm-" + vm), dataCentre(vm));
			subsets.update(configuration(1, 300), 1_700);
			subsets.use(service(0), 0).forEach((entry) -> users.merge(entry.name(), 1, Integer::sum));
		}
		Truth.assertThat(users).hasSize(300);
		int dataCentres = 3;
		Truth.assertThat(Collections.max(users.values()) - Collections.min(users.values())).isAtMost(dataCentres);
	}

	@Test
	void subsetsGrowWhenServiceIsNoLongerInUse() {
		EndpointSubsets subsets = subsets("vm-1");
		subsets.update(configuration(2, 100), 1_700);
		subsets.use(service(0), 0);
		subsets.use(service(1), 0);
		Truth.assertThat(subsets.subset(service(0))).hasSize(12);
		long later = Duration.ofSeconds(61).toNanos();
		subsets.use(service(0), later);
		subsets.contacts(later);
		Truth.assertThat(subsets.subset(service(0))).hasSize(24);
	}

	private EndpointSubsets subsets(String vm) {
		return new EndpointSubsets(this.settings, new VmId(vm), LOCAL);
	}

	private static ServiceName service(int number) {
		return new ServiceName("s" + number);
	}

	private static Configuration configuration(int services, int endpoints) {
		List<ServiceEntry> serviceEntries = new ArrayList<>();
		List<EndpointEntry> entries = new ArrayList<>();
		for (int service = 0; service < services; service++) {
			serviceEntries
				.add(new ServiceEntry(service(service), ServiceEntry.Kind.PLAIN, Duration.ofSeconds(1), true));
			for (int i = 0; i < endpoints; i++) {
				entries.add(new EndpointEntry(new EndpointId("e" + service + "-" + i), service(service), dataCentre(i),
						"a:1", List.of(), true, false));
			}
		}
		List<VmEntry> vms = IntStream.range(0, VMS)
			.mapToObj((vm) -> new VmEntry(new VmId("vm-" + vm), dataCentre(vm)))
			.toList();
		return new Configuration(1, new Register(vms, List.of(), serviceEntries, entries), Rules.EMPTY);
	}

	private static DataCentre dataCentre(int number) {
		return new DataCentre("dc-" + number % 3);
	}

}
