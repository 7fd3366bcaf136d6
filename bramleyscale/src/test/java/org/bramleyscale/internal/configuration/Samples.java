package org.bramleyscale.internal.configuration;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import com.google.common.base.Strings;
import org.bramleyscale.ClientAccountId;
import org.bramleyscale.DataCentre;
import org.bramleyscale.EndpointId;
import org.bramleyscale.ModelName;
import org.bramleyscale.ServiceName;
import org.bramleyscale.VmId;

/**
 * Registers and rules for tests.
 */
final class Samples {

	static final ServiceName SERVICE = new ServiceName("hire-assistant");

	private static final ModelName MODEL = new ModelName("crusher-12b");

	private static final DataCentre RAWANG = new DataCentre("rawang");

	private Samples() {
	}

	static Register register(int endpoints) {
		List<EndpointEntry> entries = new ArrayList<>();
		for (int index = 0; index < endpoints; index++) {
			entries.add(endpoint(index, false));
		}
		return new Register(List.of(new VmEntry(new VmId("a-0"), RAWANG)), List.of(new ModelEntry(MODEL, 1 << 20)),
				List.of(new ServiceEntry(SERVICE, ServiceEntry.Kind.MODEL, Duration.ofSeconds(30), true)), entries);
	}

	static EndpointEntry endpoint(int index, boolean leaving) {
		String address = "10.1." + index / 250 + "." + index % 250 + ":8000";
		return new EndpointEntry(new EndpointId("runner-" + index), SERVICE, RAWANG, address, List.of(MODEL), true,
				leaving);
	}

	static Rules rules(int... accounts) {
		List<AccountRule> entries = new ArrayList<>();
		for (int account : accounts) {
			entries.add(account(account, 1));
		}
		return new Rules(Set.of(SERVICE), entries);
	}

	static Rules rules(List<AccountRule> accounts) {
		return new Rules(Set.of(SERVICE), accounts);
	}

	static AccountRule account(int index, int weight) {
		String hash = Strings.padStart(Integer.toHexString(index), 64, '0');
		return new AccountRule(new ClientAccountId("account-" + index), hash, weight, 5000, 50_000, List.of(SERVICE),
				2);
	}

	/** The change that fills an empty platform. */
	static Change first() {
		return new Change("first-change", 0, "mei", Optional.of(register(3)), Optional.of(rules(1, 2)), false);
	}

}
