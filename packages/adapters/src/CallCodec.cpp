/// \file
/// Protobuf encoding of forwarded calls and their answers.
#include "PeerCodec.h"

#include <algorithm>

namespace godwitlift {

namespace {

void writeLoad(wire::Load &to, const GateLoad &load)
{
    to.set_in_use(load.inUse);
    to.set_limit(load.limit);
    to.set_queued(load.queued);
}

GateLoad readLoad(const wire::Load &from)
{
    return { from.in_use(), from.limit(), from.queued(), from.queued() };
}

template<typename Field>
std::vector<HttpHeader> readHeaders(const Field &from)
{
    std::vector<HttpHeader> headers;
    for (const wire::Header &header : from)
        headers.push_back({ header.name(), header.value() });
    return headers;
}

template<typename Message>
void writeHeaders(Message &to, const std::vector<HttpHeader> &headers)
{
    for (const HttpHeader &header : headers) {
        wire::Header &entry = *to.add_headers();
        entry.set_name(header.name);
        entry.set_value(header.value);
    }
}

} // namespace

std::uint32_t toWireMilliseconds(absl::Duration duration)
{
    return static_cast<std::uint32_t>(
            std::clamp<std::int64_t>(absl::ToInt64Milliseconds(duration), 0, UINT32_MAX));
}

wire::CallRequest toWire(const ForwardedCall &call)
{
    wire::CallRequest to;
    to.set_attempt(call.attempt.value());
    to.set_is_relay(call.isRelay);
    to.set_backend_server(call.backendServer.value());
    to.set_rank(call.rank.value());
    to.set_caller(call.caller.value());
    to.set_method(call.method);
    to.set_target(call.target);
    writeHeaders(to, call.headers);
    to.set_body(call.body);
    to.set_timeout_ms(toWireMilliseconds(call.timeout));
    to.set_stall_timeout_ms(toWireMilliseconds(call.stallTimeout));
    to.set_retries_left(call.retriesLeft);
    to.set_key(call.key.value());
    to.set_runs_at_most_once(call.runsAtMostOnce);
    return to;
}

ForwardedCall fromWire(wire::CallRequest request)
{
    ForwardedCall call;
    call.attempt = AttemptId(request.attempt());
    call.isRelay = request.is_relay();
    call.backendServer = BackendServerId(request.backend_server());
    call.rank = RankId(request.rank());
    call.caller = CallerId(request.caller());
    call.method = request.method();
    call.target = request.target();
    call.headers = readHeaders(request.headers());
    call.body = std::move(*request.mutable_body());
    call.timeout = absl::Milliseconds(request.timeout_ms());
    call.stallTimeout = absl::Milliseconds(request.stall_timeout_ms());
    call.retriesLeft = request.retries_left();
    call.key = IdempotencyKey(request.key());
    call.runsAtMostOnce = request.runs_at_most_once();
    return call;
}

wire::AnswerFrame toWire(const AnswerHead &head)
{
    wire::AnswerFrame frame;
    wire::AnswerHead &to = *frame.mutable_head();
    to.set_attempt(head.attempt.value());
    to.set_status(static_cast<std::uint32_t>(head.status));
    writeHeaders(to, head.headers);
    to.set_has_length(head.contentLength.has_value());
    to.set_length(head.contentLength.value_or(0));
    return frame;
}

wire::AnswerFrame toWire(const AnswerEnd &end)
{
    wire::AnswerFrame frame;
    frame.mutable_end()->set_received(end.receivedBytes);
    writeLoad(*frame.mutable_end()->mutable_load(), end.load);
    return frame;
}

wire::AnswerFrame toWire(const AnswerRefusal &refusal)
{
    wire::AnswerFrame frame;
    wire::AnswerRefusal &to = *frame.mutable_refusal();
    to.set_attempt(refusal.attempt.value());
    to.set_verdict(static_cast<std::uint32_t>(refusal.verdict));
    to.set_reason(static_cast<std::uint32_t>(refusal.reason));
    to.set_retry_after_ms(toWireMilliseconds(refusal.retryAfter));
    writeLoad(*to.mutable_load(), refusal.load);
    return frame;
}

AnswerHead fromWire(const wire::AnswerHead &head)
{
    AnswerHead result;
    result.attempt = AttemptId(head.attempt());
    result.status = static_cast<int>(head.status());
    result.headers = readHeaders(head.headers());
    if (head.has_length())
        result.contentLength = head.length();
    return result;
}

AnswerEnd fromWire(const wire::AnswerEnd &end)
{
    return { end.received(), readLoad(end.load()) };
}

AnswerRefusal fromWire(const wire::AnswerRefusal &refusal)
{
    AnswerRefusal result;
    result.attempt = AttemptId(refusal.attempt());
    // A node of a newer version may send unknown values. They are decoded conservatively: the
    // request may have run.
    result.verdict = refusal.verdict() == static_cast<std::uint32_t>(Verdict::NotRun)
                             ? Verdict::NotRun
                             : Verdict::MayHaveRun;
    result.reason = refusal.reason() < ReasonCount ? static_cast<Reason>(refusal.reason())
                                                   : Reason::AnswerLost;
    result.retryAfter = absl::Milliseconds(refusal.retry_after_ms());
    result.load = readLoad(refusal.load());
    return result;
}

} // namespace godwitlift
