package org.bramleyscale.daemon.command;

import java.net.InetAddress;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import com.codahale.metrics.MetricRegistry;
import com.google.common.hash.Hashing;
import org.bramleyscale.DataCentre;
import org.bramleyscale.Incarnation;
import org.bramleyscale.VmId;
import org.bramleyscale.internal.membership.Member;
import org.bramleyscale.internal.status.ApplyResult;
import org.bramleyscale.internal.status.DaemonStatus;
import org.bramleyscale.internal.status.DocumentKind;
import org.bramleyscale.internal.status.DrainResult;
import org.bramleyscale.internal.status.OperatorAccess;
import org.bramleyscale.internal.status.OperatorBackend;
import org.bramleyscale.internal.status.OperatorHandlers;
import org.bramleyscale.internal.status.ProblemThresholds;
import org.bramleyscale.internal.status.ShownDocument;
import org.bramleyscale.internal.status.StatusSummary;
import ratpack.handling.Context;
import ratpack.server.RatpackServer;

/**
 * The real operator's API over a backend that says what the test wants.
 */
final class FakeDaemon implements OperatorBackend, AutoCloseable {

	static final String KEY = "operator-key";

	static final String RULES = "urgent:\n  - notices\n";

	private final List<String> changes = new ArrayList<>();

	private final RatpackServer server;

	private CompletableFuture<ApplyResult> next = CompletableFuture.completedFuture(new ApplyResult.Accepted(8, 3));

	private boolean cutChanges;

	FakeDaemon() throws Exception {
		OperatorAccess access = OperatorAccess.builder()
			.keyHash(Hashing.sha256().hashString(KEY, StandardCharsets.UTF_8).toString())
			.build();
		OperatorHandlers handlers = new OperatorHandlers(this, access, new MetricRegistry(), ProblemThresholds.DEFAULT);
		this.server = RatpackServer.start(
				(spec) -> spec
					.serverConfig((config) -> config.address(InetAddress.getLoopbackAddress())
						.port(0)
						.threads(1)
						.registerShutdownHook(false)
						.development(false))
					.handlers((chain) -> chain.all(this::maybeCut).insert(handlers)));
	}

	String address() {
		return "127.0.0.1:" + this.server.getBindPort();
	}

	List<String> changes() {
		return this.changes;
	}

	void answerChangesWith(CompletableFuture<ApplyResult> result) {
		this.next = result;
	}

	/**
	 * Makes the daemon take changes and die before it answers.
	 */
	void cutChanges() {
		this.cutChanges = true;
	}

	private void maybeCut(Context context) {
		if (this.cutChanges && context.getRequest().getMethod().isPut()) {
			context.getRequest().getBody().then((body) -> {
				this.changes.add(context.getRequest().getQueryParams().get("changeId"));
				context.getDirectChannelAccess().getChannel().close();
			});
			return;
		}
		context.next();
	}

	@Override
	public CompletableFuture<StatusSummary> status() {
		DaemonStatus other = new DaemonStatus(new VmId("entry-2"), new DataCentre("rawang"), address(),
				Member.State.SUSPECT, 12_000, 7, Optional.empty());
		return CompletableFuture.completedFuture(new StatusSummary(Incarnation.parse("entry-1~a"),
				Instant.parse("2026-12-01T08:00:00Z"), true, 7, 0, List.of(other), List.of(), List.of(), List.of()));
	}

	@Override
	public CompletableFuture<Map<String, Object>> dump() {
		return CompletableFuture.completedFuture(Map.of("membership", Map.of("members", 3)));
	}

	@Override
	public CompletableFuture<DrainResult> drain(VmId vm) {
		return CompletableFuture.completedFuture(new DrainResult(vm,
				vm.value().startsWith("entry") ? DrainResult.Outcome.LEAVING : DrainResult.Outcome.UNKNOWN_VM));
	}

	@Override
	public CompletableFuture<ShownDocument> show(DocumentKind document) {
		return CompletableFuture.completedFuture(new ShownDocument(7, RULES));
	}

	@Override
	public CompletableFuture<ApplyResult> apply(DocumentKind document, String yaml, long baseVersion, String changeId) {
		this.changes.add(changeId);
		return this.next;
	}

	@Override
	public void close() throws Exception {
		this.server.stop();
	}

}
