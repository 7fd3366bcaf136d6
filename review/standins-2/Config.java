/** The operator's configuration, as the object config/main. */
final class Config {

	static final String STREAM = "/lohu930/";

	static final String BOOKING = "/puxa403/";

	static final String LIMITS = "{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
			+ "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}";

	static final String TENANTS = "[{\"name\":\"hule930\",\"api_keys\":[\"" + Fleet.KEY + "\"],\"priority\":1}]";

	private Config() {
	}

	/** A stream route to the service llm and a booking route to the service app. */
	static String json(long version, String limits, String tenants) {
		return "{\"version\":" + version + ",\"routes\":[{\"name\":\"r-1\",\"host\":\"" + Fleet.HOST
				+ "\",\"path_prefix\":\"" + STREAM + "\",\"route_kind\":\"streaming\",\"timeout_ms\":15000,"
				+ "\"target_latency_ms\":4000,\"priority\":1,\"service\":\"llm\",\"max_attempts\":2,\"public\":false,"
				+ "\"sticky\":true,\"resumable\":true,\"gap_target_ms\":1000},{\"name\":\"r-2\",\"host\":\""
				+ Fleet.HOST + "\",\"path_prefix\":\"" + BOOKING + "\",\"route_kind\":\"non_idempotent\","
				+ "\"timeout_ms\":1500,\"target_latency_ms\":300,\"priority\":2,\"service\":\"app\","
				+ "\"max_attempts\":1,\"public\":false}],\"services\":[{\"name\":\"llm\",\"health_path\":\"/health\","
				+ "\"connection_limit\":344,\"protocol\":\"h1\",\"tls\":false,\"engine\":{\"slots\":11,"
				+ "\"kv_capacity_tokens\":405000,\"kv_token_bytes\":163840,\"link_mbps\":400000.0,\"stride\":34,"
				+ "\"models\":[{\"name\":\"m\"}],\"step_ms\":1.31,\"per_seq_ms\":0.0013,\"context_per_k\":0.00213,"
				+ "\"read_per_s\":154000.0,\"pairs_per_m\":0.162,\"chunk\":2048,\"report_lag_ms\":200.0,"
				+ "\"loads_per_s\":0.0,\"loads_at_once\":8,\"delays\":[],"
				+ "\"usual\":{\"prompt\":11323,\"answer\":1266},\"hop_ms\":0.1}},{\"name\":\"app\","
				+ "\"health_path\":\"/health\",\"connection_limit\":52,\"protocol\":\"h1\",\"tls\":false}],"
				+ "\"limits\":" + limits + ",\"tenants\":" + tenants + "}";
	}

}
