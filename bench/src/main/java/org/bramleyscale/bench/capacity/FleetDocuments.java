package org.bramleyscale.bench.capacity;

import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;

import com.google.common.base.Strings;
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
 * Register and rules of a fleet of a given size.
 *
 * <p>
 * Immutable and safe for use by multiple threads.
 *
 * @param size the size
 */
record FleetDocuments(FleetSize size) {

	private static final int MODELS = 11;

	private static final int CONTEXT_TOKENS = 1_048_576;

	private static final Duration TIMEOUT = Duration.ofSeconds(60);

	private static final long TOKENS_PER_SECOND = 1_000_000;

	private static final int HASH_DIGITS = 64;

	Register register() {
		List<VmEntry> vms = IntStream.range(0, this.size.daemons())
			.mapToObj((index) -> new VmEntry(vm(index), dataCentre(index)))
			.toList();
		List<ModelEntry> models = IntStream.range(0, MODELS)
			.mapToObj((index) -> new ModelEntry(model(index), CONTEXT_TOKENS))
			.toList();
		List<ServiceEntry> services = IntStream.range(0, MODELS)
			.mapToObj((index) -> new ServiceEntry(service(index), ServiceEntry.Kind.MODEL, TIMEOUT, true))
			.toList();
		return new Register(vms, models, services,
				IntStream.range(0, this.size.endpoints()).mapToObj(this::endpoint).toList());
	}

	/**
	 * The rules.
	 * @param changes how often one account's weight was changed
	 * @return the rules
	 */
	Rules rules(int changes) {
		return new Rules(Set.of(service(0)),
				IntStream.range(0, this.size.accounts())
					.mapToObj((index) -> account(index, (index == 0) ? 1 + changes % 2 : 1))
					.toList());
	}

	ClientAccountId account(int index) {
		return new ClientAccountId(String.format("account-%05d", index));
	}

	/**
	 * The service that an account uses; its name is also its model's.
	 * @param index the account
	 * @return the service
	 */
	static ServiceName service(int index) {
		return new ServiceName("assist-" + index % MODELS);
	}

	static ModelName model(int index) {
		return new ModelName("assist-" + index % MODELS);
	}

	VmId vm(int index) {
		return new VmId(String.format("entry-%04d", index));
	}

	DataCentre dataCentre(int index) {
		return new DataCentre("data-centre-" + index % this.size.dataCentres());
	}

	String address(int index, int port) {
		return "10.0." + index / 256 + "." + index % 256 + ":" + port;
	}

	private EndpointEntry endpoint(int index) {
		return new EndpointEntry(new EndpointId(String.format("runner-%05d", index)), service(index),
				dataCentre(index / MODELS), address(index, 8000), List.of(model(index)), true, false);
	}

	private AccountRule account(int index, int weight) {
		String keyHash = Strings.padStart(Integer.toHexString(index), HASH_DIGITS, '0');
		return new AccountRule(account(index), keyHash, weight, TOKENS_PER_SECOND, TOKENS_PER_SECOND, List.of(), 2);
	}

}
