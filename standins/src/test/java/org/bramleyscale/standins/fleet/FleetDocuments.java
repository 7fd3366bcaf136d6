package org.bramleyscale.standins.fleet;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;

import org.bramleyscale.ClientAccountId;
import org.bramleyscale.DataCentre;
import org.bramleyscale.EndpointId;
import org.bramleyscale.ModelName;
import org.bramleyscale.ServiceName;
import org.bramleyscale.VmId;
import org.bramleyscale.internal.configuration.AccountRule;
import org.bramleyscale.internal.configuration.EndpointEntry;
import org.bramleyscale.internal.configuration.ModelEntry;
import org.bramleyscale.internal.configuration.Register;
import org.bramleyscale.internal.configuration.Rules;
import org.bramleyscale.internal.configuration.ServiceEntry;
import org.bramleyscale.internal.configuration.VmEntry;

/**
 * The register and the rules of the fleet. Stateless.
 */
final class FleetDocuments {

	static final ModelName MODEL = new ModelName("assist");

	static final ServiceName ASSIST = new ServiceName("hire-assist");

	static final ServiceName BOOKING = new ServiceName("booking");

	static final List<ClientAccountId> ACCOUNTS = List.of(new ClientAccountId("quarry"),
			new ClientAccountId("workshop"), new ClientAccountId("yard"));

	static final List<DataCentre> DATA_CENTRES = List.of(new DataCentre("shah-alam"), new DataCentre("rawang"),
			new DataCentre("semenyih"));

	private static final List<DataCentre> ENGINE_DATA_CENTRES = List.of(DATA_CENTRES.get(0), DATA_CENTRES.get(0),
			DATA_CENTRES.get(1), DATA_CENTRES.get(2));

	private static final int SERVICES = 2;

	private static final int CONTEXT_TOKENS = 1_048_576;

	private static final Duration TIMEOUT = Duration.ofSeconds(30);

	private static final long TOKENS_PER_SECOND = 5_000_000;

	private FleetDocuments() {
	}

	static Register register(List<VmEntry> vms) {
		List<ServiceEntry> services = List.of(new ServiceEntry(ASSIST, ServiceEntry.Kind.MODEL, TIMEOUT, true),
				new ServiceEntry(BOOKING, ServiceEntry.Kind.PLAIN, TIMEOUT, false));
		return new Register(vms, List.of(new ModelEntry(MODEL, CONTEXT_TOKENS)), services, endpoints());
	}

	static List<EndpointEntry> endpoints() {
		List<EndpointEntry> all = new ArrayList<>();
		for (int i = 0; i < ENGINE_DATA_CENTRES.size(); i++) {
			all.add(new EndpointEntry(new EndpointId("engine-" + (i + 1)), ASSIST, ENGINE_DATA_CENTRES.get(i),
					"10.0.1." + (i + 1) + ":80", List.of(MODEL), true, false));
		}
		for (int i = 0; i < SERVICES; i++) {
			all.add(new EndpointEntry(new EndpointId("booking-" + (i + 1)), BOOKING, DATA_CENTRES.get(i),
					"10.0.2." + (i + 1) + ":80", List.of(), false, false));
		}
		return all;
	}

	/**
	 * Returns the register with one endpoint marked as leaving, or with that mark
	 * removed.
	 * @param register the register
	 * @param name the endpoint
	 * @param leaving the mark
	 * @return the new register
	 */
	static Register withLeaving(Register register, EndpointId name, boolean leaving) {
		List<EndpointEntry> endpoints = register.endpoints()
			.stream()
			.map((entry) -> entry.name().equals(name) ? new EndpointEntry(name, entry.service(), entry.dataCentre(),
					entry.address(), entry.models(), entry.checksFencing(), leaving) : entry)
			.toList();
		return new Register(register.vms(), register.models(), register.services(), endpoints);
	}

	static Rules rules(int weight) {
		List<AccountRule> accounts = ACCOUNTS.stream().map((name) -> account(name, weight)).toList();
		return new Rules(Set.of(ASSIST), accounts);
	}

	static VmEntry vm(VmId name, DataCentre dataCentre) {
		return new VmEntry(name, dataCentre);
	}

	private static AccountRule account(ClientAccountId name, int weight) {
		String hash = String.format("%064x", name.value().hashCode() & 0xffffffffL);
		return new AccountRule(name, hash, weight, TOKENS_PER_SECOND, 10 * TOKENS_PER_SECOND, List.of(), 3);
	}

}
