/// \file
/// Encoders and decoders, one pair for each message.
#include "peers/PeerMessages.h"

#include "http/Network.h"

#include <algorithm>

namespace godwitlift {

namespace {

std::uint32_t millisecondsUntil(absl::Time time, absl::Time now)
{
    const std::int64_t remaining = absl::ToInt64Milliseconds(time - now);
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(remaining, 0, INT32_MAX));
}

Reason decodeReason(std::uint32_t value)
{
    return value < ReasonCount ? static_cast<Reason>(value) : Reason::AnswerLost;
}

} // namespace

mesh::HostEntry encodeHost(const PeerHost &host)
{
    mesh::HostEntry entry;
    entry.set_host(host.host.value());
    entry.set_address(host.address.value());
    entry.set_zone(host.zone.value());
    return entry;
}

PeerHost decodeHost(const mesh::HostEntry &entry)
{
    return { HostId(entry.host()), Address(entry.address()), ZoneId(entry.zone()) };
}

mesh::Frame encodeAttemptRequest(const AttemptRequest &request, absl::Time now)
{
    mesh::Frame frame;
    mesh::OpenRequest &message = *frame.mutable_open_request();
    message.set_attempt(request.id.value());
    message.set_request_id(request.requestId);
    message.set_content_digest(request.content.value());
    message.set_service(request.service.value());
    message.set_head(request.head);
    message.set_urgency(static_cast<std::uint32_t>(std::max(request.urgency, 0)));
    message.set_deadline_ms(millisecondsUntil(request.deadline, now));
    message.set_objective_ms(millisecondsUntil(request.objective, now));
    message.set_is_idempotent(request.isIdempotent);
    message.set_is_repeat(request.isRepeat);
    message.set_account(request.account.value());
    message.set_is_call(request.isCall);
    message.set_is_head_method(request.isHeadMethod);
    message.set_route(request.route.value());
    message.set_rollout_order(request.rolloutOrder);
    message.set_sent_us(static_cast<std::uint64_t>(absl::ToInt64Microseconds(suspendAwareNow())));
    return frame;
}

std::string encodeBodyPrefix(std::size_t bodySize)
{
    // A first part of the embedded message, which the receiver merges with the second one.
    const auto appendVarint = [](std::string &out, std::uint64_t value) {
        for (; value >= 0x80; value >>= 7U)
            out += static_cast<char>(value | 0x80U);
        out += static_cast<char>(value);
    };
    constexpr std::uint64_t LengthDelimited = 2;
    const auto appendTag = [&](std::string &out, std::uint64_t fieldNumber) {
        appendVarint(out, fieldNumber << 3U | LengthDelimited);
    };
    std::string field;
    appendTag(field, mesh::OpenRequest::kBodyFieldNumber);
    appendVarint(field, bodySize);
    std::string prefix;
    appendTag(prefix, mesh::Frame::kOpenRequestFieldNumber);
    appendVarint(prefix, field.size() + bodySize);
    return prefix + field;
}

AttemptRequest decodeAttemptRequest(mesh::OpenRequest &message, absl::Time now,
                                    TransitDelayEstimator &transitDelayEstimator)
{
    const absl::Duration delay =
            transitDelayEstimator.observe(absl::Microseconds(message.sent_us()), suspendAwareNow());
    AttemptRequest request;
    request.id = AttemptId(message.attempt());
    request.requestId = message.request_id();
    request.content = ContentDigest(message.content_digest());
    request.service = ServiceId(message.service());
    request.head = message.head();
    request.body = std::make_shared<const std::string>(std::move(*message.mutable_body()));
    request.urgency = static_cast<int>(message.urgency());
    request.deadline = now + absl::Milliseconds(message.deadline_ms()) - delay;
    request.objective = now + absl::Milliseconds(message.objective_ms()) - delay;
    request.isIdempotent = message.is_idempotent();
    request.isRepeat = message.is_repeat();
    request.account = ClientAccountId(message.account());
    request.isCall = message.is_call();
    request.isHeadMethod = message.is_head_method();
    request.route = RouteId(message.route());
    request.rolloutOrder = message.rollout_order();
    return request;
}

mesh::Frame encodeAttemptFailure(AttemptId id, const AttemptFailure &failure)
{
    mesh::Frame frame;
    mesh::RequestRefused &message = *frame.mutable_request_refused();
    message.set_attempt(id.value());
    message.set_reason(static_cast<std::uint32_t>(failure.reason));
    message.set_retry_after_ms(
            static_cast<std::uint32_t>(absl::ToInt64Milliseconds(failure.retryAfter)));
    message.set_reached_server(failure.reachedServer);
    message.set_may_have_run(failure.verdict != Verdict::NotRun);
    if (failure.demand) {
        message.set_running(failure.demand->running);
        message.set_queued(failure.demand->queued);
    }
    return frame;
}

AttemptFailure decodeAttemptFailure(const mesh::RequestRefused &message)
{
    AttemptFailure failure;
    failure.verdict = message.may_have_run() ? Verdict::MayHaveRun : Verdict::NotRun;
    failure.reason = decodeReason(message.reason());
    failure.reachedServer = message.reached_server();
    failure.retryAfter = absl::Milliseconds(message.retry_after_ms());
    if (message.has_running())
        failure.demand = { message.running(), message.queued() };
    return failure;
}

mesh::Frame encodeAnswerHead(AttemptId id, AnswerHead head)
{
    mesh::Frame frame;
    mesh::AnswerHead &message = *frame.mutable_answer_head();
    message.set_attempt(id.value());
    message.set_status(head.status);
    message.set_reason_phrase(std::move(head.reasonPhrase));
    message.set_fields(std::move(head.fields));
    message.set_content_length(head.contentLength ? static_cast<std::int64_t>(*head.contentLength)
                                                  : -1);
    message.set_has_seal(head.isSealed);
    return frame;
}

AnswerHead decodeAnswerHead(const mesh::AnswerHead &message)
{
    AnswerHead head;
    head.status = message.status();
    head.reasonPhrase = message.reason_phrase();
    head.fields = message.fields();
    if (message.content_length() >= 0)
        head.contentLength = static_cast<std::uint64_t>(message.content_length());
    head.isSealed = message.has_seal();
    return head;
}

mesh::Frame encodeCrash(const AgedCrash &crash)
{
    mesh::Frame frame;
    mesh::ServerCrash &message = *frame.mutable_server_crash();
    message.set_content_digest(crash.crash.content.value());
    message.set_process(crash.crash.process.value());
    message.set_age_ms(static_cast<std::uint32_t>(
            std::clamp<std::int64_t>(absl::ToInt64Milliseconds(crash.age), 0, INT32_MAX)));
    return frame;
}

AgedCrash decodeCrash(const mesh::ServerCrash &message)
{
    return { { ContentDigest(message.content_digest()), ServerProcess(message.process()) },
             absl::Milliseconds(message.age_ms()) };
}

mesh::RequestLimit encodeRequestLimit(const RequestLimitReport &report)
{
    mesh::RequestLimit message;
    message.set_per_second(report.perSecond);
    message.set_allowance(report.allowance);
    return message;
}

RequestLimitReport decodeRequestLimit(const mesh::RequestLimit &message)
{
    return { message.per_second(), message.allowance() };
}

GateLoadReport decodeLoadReport(const mesh::AnswerEnd &message)
{
    GateLoadReport report;
    report.demand = { message.running(), message.queued() };
    if (message.slowdown() > 0)
        report.slowdown = message.slowdown();
    report.linkBacklog = absl::Milliseconds(message.link_backlog_ms());
    report.bodyBacklog = absl::Milliseconds(message.body_backlog_ms());
    if (message.has_request_limit())
        report.requestLimit = decodeRequestLimit(message.request_limit());
    return report;
}

mesh::Frame encodeGateState(const GateReport &report, const NodeState &node)
{
    mesh::Frame frame;
    mesh::GateState &message = *frame.mutable_gate_state();
    message.set_server(report.server.value());
    message.set_service(report.service.value());
    message.set_takes_work(report.acceptsRequests);
    message.set_slots(report.slots);
    message.set_running(report.running);
    message.set_queued(report.queued);
    message.set_configuration_version(node.configurationVersion.value());
    message.set_is_leaving(node.isShuttingDown);
    message.set_is_store_failing(node.isStoreFailing);
    message.set_link_mbps(node.linkMbps);
    message.set_is_departing(node.isDeparting);
    message.set_states_accounts(node.statesAccounts);
    message.set_link_backlog_ms(
            static_cast<std::uint32_t>(absl::ToInt64Milliseconds(report.linkBacklog)));
    message.set_body_backlog_ms(
            static_cast<std::uint32_t>(absl::ToInt64Milliseconds(report.bodyBacklog)));
    message.set_failure_share(static_cast<float>(report.failureShare));
    message.set_server_version(report.version.value());
    message.set_slowdown(static_cast<float>(report.slowdown));
    if (report.requestLimit)
        *message.mutable_request_limit() = encodeRequestLimit(*report.requestLimit);
    return frame;
}

NodeState decodeNodeState(const mesh::GateState &message)
{
    return { Version(message.configuration_version()),
             message.is_leaving(),
             message.is_store_failing(),
             message.link_mbps(),
             message.is_departing(),
             message.states_accounts() };
}

GateReport decodeGateReport(const mesh::GateState &message)
{
    GateReport report;
    report.server = BackendServerId(message.server());
    report.service = ServiceId(message.service());
    report.version = ServerVersion(message.server_version());
    report.acceptsRequests = message.takes_work();
    report.slots = message.slots();
    report.running = message.running();
    report.queued = message.queued();
    report.linkMbps = message.link_mbps();
    report.linkBacklog = absl::Milliseconds(message.link_backlog_ms());
    report.bodyBacklog = absl::Milliseconds(message.body_backlog_ms());
    report.failureShare = message.failure_share();
    if (message.slowdown() > 0)
        report.slowdown = message.slowdown();
    if (message.has_request_limit())
        report.requestLimit = decodeRequestLimit(message.request_limit());
    return report;
}

mesh::RolloutState encodeRolloutState(const RolloutState &state, absl::Time now)
{
    mesh::RolloutState message;
    message.set_service(state.order.service.value());
    message.set_target(state.order.target.value());
    message.set_order(state.order.revision);
    message.set_duration_ms(
            static_cast<std::uint64_t>(absl::ToInt64Milliseconds(state.order.duration)));
    message.set_age_ms(static_cast<std::uint64_t>(
            std::max<std::int64_t>(0, absl::ToInt64Milliseconds(now - state.ordered))));
    message.set_phase(static_cast<std::uint32_t>(state.phase));
    message.set_step(state.step);
    message.set_is_recorded(state.isRecorded);
    return message;
}

std::optional<RolloutState> decodeRolloutState(const mesh::RolloutState &message, absl::Time now)
{
    if (message.service().empty() || message.target().empty()
        || message.phase() > static_cast<std::uint32_t>(RolloutPhase::Completed))
        return std::nullopt;
    RolloutState state;
    state.order = { ServiceId(message.service()), ServerVersion(message.target()),
                    absl::Milliseconds(static_cast<std::int64_t>(message.duration_ms())),
                    message.order() };
    state.ordered = now - absl::Milliseconds(static_cast<std::int64_t>(message.age_ms()));
    state.phase = static_cast<RolloutPhase>(message.phase());
    state.step = message.step();
    state.isRecorded = message.is_recorded();
    return state;
}

mesh::RolloutEvidence encodeRolloutEvidence(const RolloutOrder &order,
                                            const ServerEvidence &evidence)
{
    mesh::RolloutEvidence message;
    message.set_service(order.service.value());
    message.set_order(order.revision);
    message.set_server(evidence.server.value());
    message.set_server_version(evidence.version.value());
    message.set_busy(evidence.busy);
    for (const auto &[route, counts] : evidence.routes) {
        mesh::RouteEvidence &entry = *message.add_routes();
        entry.set_route(route.value());
        entry.set_failures(counts.failures);
        for (const std::uint32_t count : counts.serviceTimes)
            entry.add_service_times(count);
    }
    return message;
}

ServerEvidence decodeRolloutEvidence(const mesh::RolloutEvidence &message)
{
    ServerEvidence evidence;
    evidence.server = BackendServerId(message.server());
    evidence.version = ServerVersion(message.server_version());
    evidence.busy = message.busy();
    for (const mesh::RouteEvidence &entry : message.routes()) {
        RouteEvidence &counts = evidence.routes[RouteId(entry.route())];
        counts.failures = entry.failures();
        const auto classes = std::min<std::size_t>(
                RouteEvidence::TimeClasses, static_cast<std::size_t>(entry.service_times_size()));
        for (std::size_t i = 0; i < classes; ++i)
            counts.serviceTimes[i] = entry.service_times(static_cast<int>(i));
    }
    return evidence;
}

namespace {

void encodeRoute(const TrafficRoute &route, mesh::Route &message)
{
    message.set_id(route.id.value());
    message.set_host_name(route.hostName);
    message.set_prefix(route.prefix);
    for (const WeightedService &weightedService : route.destinations) {
        mesh::Destination &destination = *message.add_destinations();
        destination.set_service(weightedService.service.value());
        destination.set_weight(weightedService.weight);
    }
    message.set_is_idempotent(route.retrySafety == RetrySafety::Idempotent);
    message.set_is_bulk(route.isBulk);
    message.set_is_upload(route.isUpload);
    message.set_is_public(route.isPublic);
    message.set_timeout_us(absl::ToInt64Microseconds(route.timeout));
    message.set_objective_us(absl::ToInt64Microseconds(route.latencyObjective));
    message.set_urgency(route.urgency);
    message.set_attempt_limit(route.attemptLimit);
}

SharedRoute decodeRoute(const mesh::Route &message)
{
    auto route = std::make_shared<TrafficRoute>();
    route->id = RouteId(message.id());
    route->hostName = message.host_name();
    route->prefix = message.prefix();
    for (const mesh::Destination &destination : message.destinations())
        route->destinations.push_back({ ServiceId(destination.service()), destination.weight() });
    route->retrySafety =
            message.is_idempotent() ? RetrySafety::Idempotent : RetrySafety::AtMostOnce;
    route->isBulk = message.is_bulk();
    route->isUpload = message.is_upload();
    route->isPublic = message.is_public();
    route->timeout = absl::Microseconds(message.timeout_us());
    route->latencyObjective = absl::Microseconds(message.objective_us());
    route->urgency = message.urgency();
    route->attemptLimit = message.attempt_limit();
    return route;
}

} // namespace

mesh::Frame encodeQuotaAsk(const ClientAccountId &account, const QuotaAsk &ask)
{
    mesh::Frame frame;
    mesh::QuotaAsk &message = *frame.mutable_quota_ask();
    message.set_account(account.value());
    message.set_number(ask.number);
    message.set_waiting(ask.waiting);
    message.set_ahead(ask.ahead);
    message.set_unspent(ask.unspent);
    message.set_returned(ask.returned);
    message.set_owner_term(ask.ownerTerm);
    message.set_is_for_stand_in(ask.isForStandIn);
    return frame;
}

QuotaAsk decodeQuotaAsk(const mesh::QuotaAsk &message)
{
    return { message.number(),   message.waiting(),    message.ahead(),          message.unspent(),
             message.returned(), message.owner_term(), message.is_for_stand_in() };
}

mesh::Frame encodeQuotaGrant(const ClientAccountId &account, const QuotaGrant &grant)
{
    mesh::Frame frame;
    mesh::QuotaGrant &message = *frame.mutable_quota_grant();
    message.set_account(account.value());
    message.set_number(grant.number);
    message.set_is_owner(grant.isOwner);
    message.set_amount(grant.amount);
    message.set_retry_after_us(
            static_cast<std::uint64_t>(absl::ToInt64Microseconds(grant.retryAfter)));
    message.set_owner_term(grant.ownerTerm);
    return frame;
}

QuotaGrant decodeQuotaGrant(const mesh::QuotaGrant &message)
{
    return { message.number(), message.is_owner(), message.amount(),
             absl::Microseconds(static_cast<double>(message.retry_after_us())),
             message.owner_term() };
}

mesh::Frame encodeConfirmation(const ConfigurationConfirmation &confirmation, const ClockEcho &echo,
                               absl::Duration now)
{
    mesh::Frame frame;
    mesh::ConfigurationConfirmed &message = *frame.mutable_configuration_confirmed();
    message.set_version(confirmation.version.value());
    message.set_store_era(confirmation.position.era);
    message.set_store_revision(confirmation.position.revision);
    message.set_sent_us(static_cast<std::uint64_t>(absl::ToInt64Microseconds(now)));
    message.set_age_us(static_cast<std::uint64_t>(
            absl::ToInt64Microseconds(std::max(now - confirmation.asOf, absl::ZeroDuration()))));
    const auto echoed = echo.echo(confirmation.provenAsOf, now);
    if (echoed && confirmation.provenAsOf > -absl::InfiniteDuration()) {
        message.set_echoed_us(
                static_cast<std::uint64_t>(absl::ToInt64Microseconds(echoed->reading)));
        message.set_newest_after_us(absl::ToInt64Microseconds(echoed->offset));
    }
    return frame;
}

mesh::Frame encodeConfirmationWanted(absl::Duration now)
{
    mesh::Frame frame;
    frame.mutable_confirmation_wanted()->set_sent_us(
            static_cast<std::uint64_t>(absl::ToInt64Microseconds(now)));
    return frame;
}

ConfigurationConfirmation decodeConfirmation(const mesh::ConfigurationConfirmed &message,
                                             absl::Duration now,
                                             TransitDelayEstimator &transitDelayEstimator)
{
    const auto sent = absl::Microseconds(static_cast<std::int64_t>(message.sent_us()));
    const absl::Duration delay = transitDelayEstimator.observe(sent, now);
    // An age beyond any lease; a larger one would overflow.
    constexpr std::uint64_t MaxAgeUs = 3'600'000'000;
    const auto age =
            absl::Microseconds(static_cast<std::int64_t>(std::min(message.age_us(), MaxAgeUs)));
    const EchoedTime proven{ absl::Microseconds(static_cast<std::int64_t>(message.echoed_us())),
                             absl::Microseconds(message.newest_after_us()) };
    return { Version(message.version()),
             { message.store_era(), message.store_revision() },
             now - delay - age,
             proven.lowerBound(now).value_or(-absl::InfiniteDuration()) };
}

namespace {

mesh::Account encodeAccount(const ClientAccount &account)
{
    mesh::Account message;
    message.set_id(account.id.value());
    for (const KeyDigest &key : account.keys)
        message.add_key_digests(std::string(key.bytes()));
    message.set_has_urgency(account.urgency.has_value());
    message.set_urgency(account.urgency.value_or(0));
    message.set_requests_per_second(account.quota.requestsPerSecond);
    message.set_burst(account.quota.burst);
    return message;
}

/// Skips digests of another size; the digest of the changes then does not match.
SharedAccount decodeAccount(const mesh::Account &message)
{
    auto account = std::make_shared<ClientAccount>();
    account->id = ClientAccountId(message.id());
    for (const std::string &bytes : message.key_digests()) {
        if (const auto key = KeyDigest::fromBytes(bytes))
            account->keys.push_back(*key);
    }
    if (message.has_urgency())
        account->urgency = message.urgency();
    account->quota = { message.requests_per_second(), message.burst() };
    return account;
}

} // namespace

mesh::Frame encodeConfigurationChanges(const ConfigurationChanges &changes)
{
    mesh::Frame frame;
    mesh::ConfigurationChanges &message = *frame.mutable_configuration_changes();
    message.set_base(changes.base.value());
    message.set_version(changes.version.value());
    message.set_digest(changes.digest);
    message.set_states_accounts(true);
    for (const SharedRoute &route : changes.routes)
        encodeRoute(*route, *message.add_routes());
    for (const RouteId &id : changes.removed)
        message.add_removed(id.value());
    for (const TrafficService &service : changes.services) {
        mesh::Service &entry = *message.add_services();
        entry.set_id(service.id.value());
        entry.set_health_path(service.healthPath);
        entry.set_connection_limit(service.connectionLimit);
    }
    for (const SharedAccount &account : changes.accounts)
        *message.add_accounts() = encodeAccount(*account);
    for (const ClientAccountId &id : changes.removedAccounts)
        message.add_removed_accounts(id.value());
    mesh::Limits &limits = *message.mutable_limits();
    limits.set_header_bytes(changes.limits.headerBytes);
    limits.set_body_bytes(changes.limits.bodyBytes);
    limits.set_header_timeout_us(absl::ToInt64Microseconds(changes.limits.headerTimeout));
    limits.set_idle_timeout_us(absl::ToInt64Microseconds(changes.limits.idleTimeout));
    return frame;
}

ConfigurationChanges decodeConfigurationChanges(const mesh::ConfigurationChanges &message)
{
    ConfigurationChanges changes;
    changes.base = Version(message.base());
    changes.version = Version(message.version());
    changes.digest = message.digest();
    for (const mesh::Route &route : message.routes()) {
        if (route.destinations_size() > 0)
            changes.routes.push_back(decodeRoute(route));
    }
    for (const std::string &id : message.removed())
        changes.removed.emplace_back(id);
    for (const mesh::Service &service : message.services())
        changes.services.push_back(
                { ServiceId(service.id()), service.health_path(), service.connection_limit() });
    for (const mesh::Account &account : message.accounts())
        changes.accounts.push_back(decodeAccount(account));
    for (const std::string &id : message.removed_accounts())
        changes.removedAccounts.emplace_back(id);
    changes.statesAccounts = message.states_accounts();
    changes.limits.headerBytes = message.limits().header_bytes();
    changes.limits.bodyBytes = message.limits().body_bytes();
    changes.limits.headerTimeout = absl::Microseconds(message.limits().header_timeout_us());
    changes.limits.idleTimeout = absl::Microseconds(message.limits().idle_timeout_us());
    return changes;
}

} // namespace godwitlift
