package org.bramleyscale.daemon.demo;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;

import com.google.common.hash.Hashing;
import org.bramleyscale.ClientAccountId;
import org.bramleyscale.DataCentre;
import org.bramleyscale.EndpointId;
import org.bramleyscale.ModelName;
import org.bramleyscale.ServiceName;
import org.bramleyscale.VmId;
import org.bramleyscale.daemon.demo.load.Workload;
import org.bramleyscale.internal.configuration.AccountRule;
import org.bramleyscale.internal.configuration.EndpointEntry;
import org.bramleyscale.internal.configuration.ModelEntry;
import org.bramleyscale.internal.configuration.Register;
import org.bramleyscale.internal.configuration.Rules;
import org.bramleyscale.internal.configuration.ServiceEntry;
import org.bramleyscale.internal.configuration.VmEntry;
import org.bramleyscale.internal.configuration.document.RegisterDocument;
import org.bramleyscale.internal.configuration.document.RulesDocument;

/**
 * The register and the rules of the demonstration.
 *
 * <p>
 * Not safe for use by multiple threads.
 */
final class DemoDocuments {

	private static final int CONTEXT_TOKENS = 1_048_576;

	private static final Duration TIMEOUT = Duration.ofSeconds(60);

	private static final long TOKENS_PER_SECOND = 5_000_000;

	private static final int ENTRIES = 3;

	private final List<VmEntry> vms = new ArrayList<>();

	private final List<EndpointEntry> endpoints = new ArrayList<>();

	void vm(VmId name, DataCentre dataCentre) {
		this.vms.add(new VmEntry(name, dataCentre));
	}

	void endpoint(EndpointId name, Workload workload, DataCentre dataCentre, String address) {
		List<ModelName> models = workload.generates() ? List.of(new ModelName(workload.model())) : List.of();
		this.endpoints.add(new EndpointEntry(name, new ServiceName(workload.service()), dataCentre, address, models,
				workload.generates(), false));
	}

	String register() {
		List<ModelEntry> models = List.of(model(Workload.QUOTE), model(Workload.NOTICE));
		List<ServiceEntry> services = List.of(service(Workload.QUOTE, ServiceEntry.Kind.MODEL),
				service(Workload.NOTICE, ServiceEntry.Kind.MODEL), service(Workload.BOOKING, ServiceEntry.Kind.PLAIN));
		return RegisterDocument.format(new Register(this.vms, models, services, this.endpoints));
	}

	/**
	 * The rules.
	 * @param weight the weight of both accounts, which the change in the middle alters
	 * @return the document
	 */
	String rules(int weight) {
		List<AccountRule> accounts = List.of(account(Workload.QUOTE.account(), weight),
				account(Workload.NOTICE.account(), weight));
		return RulesDocument.format(new Rules(Set.of(new ServiceName(Workload.NOTICE.service())), accounts));
	}

	/**
	 * The API key of an account.
	 * @param account the account's name
	 * @return the key
	 */
	static String key(String account) {
		return "demo-key-of-" + account;
	}

	static String hash(String key) {
		return Hashing.sha256().hashString(key, StandardCharsets.UTF_8).toString();
	}

	private static ModelEntry model(Workload workload) {
		return new ModelEntry(new ModelName(workload.model()), CONTEXT_TOKENS);
	}

	private static ServiceEntry service(Workload workload, ServiceEntry.Kind kind) {
		return new ServiceEntry(new ServiceName(workload.service()), kind, TIMEOUT, kind == ServiceEntry.Kind.MODEL);
	}

	private static AccountRule account(String name, int weight) {
		return new AccountRule(new ClientAccountId(name), hash(key(name)), weight, TOKENS_PER_SECOND,
				10 * TOKENS_PER_SECOND, List.of(), ENTRIES);
	}

}
