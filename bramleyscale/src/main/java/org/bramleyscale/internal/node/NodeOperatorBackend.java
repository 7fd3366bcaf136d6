package org.bramleyscale.internal.node;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

import org.bramleyscale.ErrorCode;
import org.bramleyscale.Ran;
import org.bramleyscale.ServingException;
import org.bramleyscale.Step;
import org.bramleyscale.VmId;
import org.bramleyscale.internal.address.LeavePlan;
import org.bramleyscale.internal.configuration.Change;
import org.bramleyscale.internal.configuration.ChangeResult;
import org.bramleyscale.internal.configuration.Configuration;
import org.bramleyscale.internal.configuration.InvalidConfigurationException;
import org.bramleyscale.internal.configuration.document.RegisterDocument;
import org.bramleyscale.internal.configuration.document.RulesDocument;
import org.bramleyscale.internal.membership.Member;
import org.bramleyscale.internal.peer.PeerNetwork;
import org.bramleyscale.internal.status.ApplyResult;
import org.bramleyscale.internal.status.DocumentKind;
import org.bramleyscale.internal.status.DrainResult;
import org.bramleyscale.internal.status.OperatorBackend;
import org.bramleyscale.internal.status.ShownDocument;
import org.bramleyscale.internal.status.StatusSummary;
import org.bramleyscale.internal.time.Scheduler;

/**
 * Does what operators ask of this daemon.
 *
 * <p>
 * May be called from any thread; everything about state happens on the event loop.
 */
final class NodeOperatorBackend implements OperatorBackend {

	private static final String AUTHOR = "operator";

	private final NodeSlices node;

	private final Scheduler scheduler;

	private final NodeStatus status;

	private final DaemonReports reports;

	private final PeerNetwork network;

	NodeOperatorBackend(NodeSlices node) {
		this.node = node;
		this.scheduler = node.scheduler();
		this.status = new NodeStatus(node);
		this.network = node.network();
		this.reports = new DaemonReports(this.scheduler, node.membership(), this.network, this.status::report);
	}

	@Override
	public CompletableFuture<StatusSummary> status() {
		return onLoop(() -> this.reports.collect().thenApply(this.status::summary));
	}

	@Override
	public CompletableFuture<Map<String, Object>> dump() {
		return onLoop(() -> CompletableFuture.completedFuture(this.node.dump()));
	}

	@Override
	public CompletableFuture<DrainResult> drain(VmId vm) {
		return onLoop(() -> drainNow(vm));
	}

	@Override
	public CompletableFuture<ShownDocument> show(DocumentKind document) {
		return onLoop(() -> {
			Configuration current = this.node.configuration().current();
			return CompletableFuture.completedFuture(new ShownDocument(current.version(), text(document, current)));
		});
	}

	@Override
	public CompletableFuture<ApplyResult> apply(DocumentKind document, String yaml, long baseVersion, String changeId) {
		Change change;
		try {
			change = change(document, yaml, baseVersion, changeId);
		}
		catch (InvalidConfigurationException ex) {
			return CompletableFuture.completedFuture(new ApplyResult.Rejected(ex.problems()));
		}
		catch (IllegalArgumentException ex) {
			return CompletableFuture.failedFuture(
					new ServingException(ErrorCode.BAD_REQUEST, Ran.NO, Step.CONFIGURE, "self", ex.getMessage()));
		}
		return onLoop(() -> this.node.configuration().propose(change))
			.thenCompose((result) -> onLoop(() -> CompletableFuture.completedFuture(told(document, yaml, result))));
	}

	private static Change change(DocumentKind document, String yaml, long baseVersion, String changeId)
			throws InvalidConfigurationException {
		return switch (document) {
			case REGISTER -> Change.of(changeId, baseVersion, AUTHOR, RegisterDocument.parse(yaml));
			case RULES -> Change.of(changeId, baseVersion, AUTHOR, RulesDocument.parse(yaml));
		};
	}

	private ApplyResult told(DocumentKind document, String yaml, ChangeResult result) {
		if (result instanceof ChangeResult.Accepted accepted) {
			return new ApplyResult.Accepted(accepted.version(), accepted.holders());
		}
		if (result instanceof ChangeResult.Conflict conflict) {
			Configuration current = this.node.configuration().current();
			return new ApplyResult.Conflict(conflict.base(), conflict.current(), text(document, current), yaml);
		}
		return new ApplyResult.Rejected(((ChangeResult.Rejected) result).problems());
	}

	private CompletableFuture<DrainResult> drainNow(VmId vm) {
		if (vm.equals(this.node.membership().self().vm())) {
			boolean begun = this.node.leavePlan().phase() != LeavePlan.Phase.SERVING;
			this.node.beginLeave(AUTHOR);
			return drained(vm, begun);
		}
		Optional<Member> member = this.node.membership().member(vm);
		if (member.isEmpty() || member.get().state() == Member.State.DEAD) {
			return CompletableFuture.completedFuture(new DrainResult(vm, DrainResult.Outcome.UNKNOWN_VM));
		}
		if (!this.network.send(vm, new Drain(this.node.membership().self().toString()))) {
			return CompletableFuture.failedFuture(new ServingException(ErrorCode.NOT_READY, Ran.NO, Step.FORWARD,
					vm.value(), vm + " can't be reached from here"));
		}
		return drained(vm, member.get().state() == Member.State.LEAVING);
	}

	private static CompletableFuture<DrainResult> drained(VmId vm, boolean already) {
		return CompletableFuture.completedFuture(
				new DrainResult(vm, already ? DrainResult.Outcome.ALREADY_LEAVING : DrainResult.Outcome.LEAVING));
	}

	private static String text(DocumentKind document, Configuration configuration) {
		return switch (document) {
			case REGISTER -> RegisterDocument.format(configuration.register());
			case RULES -> RulesDocument.format(configuration.rules());
		};
	}

	private <T> CompletableFuture<T> onLoop(Supplier<CompletableFuture<T>> task) {
		CompletableFuture<T> result = new CompletableFuture<>();
		this.scheduler.execute(() -> task.get().whenComplete((value, failure) -> {
			if (failure != null) {
				result.completeExceptionally(failure);
			}
			else {
				result.complete(value);
			}
		}));
		return result;
	}

}
