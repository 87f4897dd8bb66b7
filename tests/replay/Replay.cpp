/// \file
/// Replays recorded traces and checks the outcomes stated in them; the format is described in
/// docs/TRACES.md.
#include "godwitlift/configuration/ConfigurationCodec.h"
#include "godwitlift/json/ObjectReader.h"
#include "godwitlift/node/ControlPlane.h"
#include "godwitlift/serving/Ingress.h"

#include <absl/strings/str_cat.h>

#include <fstream>
#include <iostream>
#include <map>

namespace {

using namespace godwitlift;
using nlohmann::json;

constexpr std::uint64_t Seed = 1;

/// Control plane and ingress of the node that receives the inputs of a trace.
class TraceReplay final : public MemberLookup
{
public:
    TraceReplay()
        : m_controlRandom(Seed)
        , m_servingRandom(Seed)
    {
        NodeIdentity identity{
            HostId("traced"), ZoneId("zone"), RegionId("region"), Address("10.0.0.1:7400"), {},
            Incarnation(1)
        };
        std::string problem;
        m_plane = std::move(*valueOrErrorText(
                [&] { return ControlPlane::create(identity, {}, m_now, m_controlRandom); },
                problem));
        m_ingress = std::make_unique<Ingress>(identity.host, identity.incarnation, IngressPolicy(),
                                              *this, m_servingRandom);
    }

    /// Processes one line of the trace. Returns the difference if an expectation is not met.
    std::string processLine(const json &line)
    {
        if (line.contains("at_ms"))
            m_now = m_start + absl::Milliseconds(line["at_ms"].get<std::int64_t>());
        if (line.contains("expect"))
            return checkExpectation(line);
        applyInput(line);
        return {};
    }

    std::optional<MemberHost> find(const HostId &host) const override
    {
        const HostRecord *record = m_plane->directory().find(host);
        if (record == nullptr || !record->isMember())
            return std::nullopt;
        return MemberHost{ record->address, record->stamp.incarnation };
    }

private:
    void applyInput(const json &line)
    {
        const std::string kind = line.at("input");
        const Peer peer{ HostId(line.value("from", "peer")), Address("10.0.0.2:7400") };
        if (kind == "snapshot") {
            const std::string text = configurationText(line);
            applyEffects(m_plane->receive(
                    peer,
                    SnapshotOffer{ { Version(line.at("version")),
                                     Digest(line.value("digest", digestText(text))), text } },
                    m_now));
        } else if (kind == "step") {
            StepsOffer offer;
            offer.steps = { parseDeltaStep(line) };
            applyEffects(m_plane->receive(peer, offer, m_now));
        } else if (kind == "record") {
            applyEffects(m_plane->receive(peer, RecordsOffer{ { parseHostRecord(line) } }, m_now));
        } else if (kind == "tick") {
            applyEffects(m_plane->tick(m_now));
            recordActions(m_ingress->tick(m_now));
        } else if (kind == "call") {
            recordActions(m_ingress->onCall(parseCallHead(line), m_now));
        } else if (kind == "attempt_ended") {
            recordActions(m_ingress->onAttemptEnded(parseAttemptReport(line), m_now));
        } else {
            throw std::runtime_error("unknown input " + kind);
        }
    }

    static std::string configurationText(const json &line)
    {
        std::string problem;
        const auto content = valueOrErrorText(
                [&] { return decodeConfiguration(line.at("content").dump()); }, problem);
        return content ? encode(*content) : line.at("content").dump();
    }

    static std::string digestText(const std::string &text)
    {
        std::string problem;
        const auto content = valueOrErrorText([&] { return decodeConfiguration(text); }, problem);
        return content ? digestOf(*content).value() : "-";
    }

    DeltaStep parseDeltaStep(const json &line)
    {
        DeltaStep step;
        step.from = Version(line.at("from_version"));
        step.to = Version(line.at("version"));
        step.text = line.at("delta").dump();
        std::string problem;
        const auto base = valueOrErrorText(
                [&] { return decodeConfiguration(line.at("base").dump()); }, problem);
        const auto delta = valueOrErrorText([&] { return decodeDelta(step.text); }, problem);
        if (base && delta)
            step.digest = digestOf(delta->appliedTo(*base));
        return step;
    }

    static HostRecord parseHostRecord(const json &line)
    {
        HostRecord record;
        record.host = HostId(line.at("host").get<std::string>());
        record.zone = ZoneId(line.value("zone", "zone"));
        record.region = RegionId("region");
        record.address = Address("10.0.0.9:7400");
        record.stamp.incarnation = Incarnation(line.value("incarnation", 1));
        record.stamp.sequence = Sequence(line.at("sequence"));
        record.stamp.liveness = static_cast<Liveness>(line.value("liveness", 0));
        if (line.contains("service")) {
            BackendServer server;
            server.id = BackendServerId("b");
            server.service = ServiceId(line["service"].get<std::string>());
            server.slots = 20;
            server.state = line.value("draining", false) ? BackendServerState::Draining
                                                         : BackendServerState::Ready;
            record.backendServers = { server };
        }
        return record;
    }

    static CallHead parseCallHead(const json &line)
    {
        CallHead head;
        head.call = CallId(line.at("call"));
        head.path = line.at("path");
        head.caller = CallerId("caller");
        head.key = IdempotencyKey(line.value("key", ""));
        head.retriesLeft = ChainRetryLimit;
        return head;
    }

    static AttemptReport parseAttemptReport(const json &line)
    {
        AttemptReport report;
        report.attempt = AttemptId(line.at("attempt"));
        report.verdict = *verdictFromName(line.at("verdict").get<std::string>());
        report.reason = *reasonFromName(line.value("reason", "none"));
        return report;
    }

    void applyEffects(const ControlEffects &effects)
    {
        if (effects.routingTable != nullptr)
            m_ingress->setRoutingTable(effects.routingTable);
    }

    void recordActions(const IngressActions &actions)
    {
        for (const ForwardAction &action : actions.forwards)
            m_events.push_back(absl::StrCat("forward call=", action.call.value(),
                                            " attempt=", action.attempt.value(),
                                            " host=", action.target.host.value()));
        for (const CallRefusal &refusal : actions.refusals)
            m_events.push_back(absl::StrCat("refuse call=", refusal.call.value(),
                                            " verdict=", std::string(name(refusal.verdict)),
                                            " reason=", std::string(name(refusal.reason))));
        for (const CallId call : actions.completions)
            m_events.push_back(absl::StrCat("complete call=", call.value()));
        for (const AttemptId attempt : actions.cancellations)
            m_events.push_back(absl::StrCat("cancel attempt=", attempt.value()));
    }

    std::string checkExpectation(const json &line)
    {
        const std::string expectation = line.at("expect");
        if (expectation == "version")
            return describeDifference(expectation, line.at("value"),
                                      m_plane->configuration().version().value());
        if (expectation == "table_version")
            return describeDifference(expectation, line.at("value"),
                                      m_ingress->routingTable()->version().value());
        if (expectation == "targets")
            return describeDifference(expectation, line.at("value"),
                                      m_ingress->routingTable()->targetCount());
        if (expectation == "member") {
            const HostRecord *record =
                    m_plane->directory().find(HostId(line.at("host").get<std::string>()));
            return describeDifference(expectation, line.at("value"),
                                      record != nullptr && record->isMember());
        }
        if (expectation == "events") {
            const json events = m_events;
            m_events.clear();
            return describeDifference(expectation, line.at("value"), events);
        }
        return "unknown expectation " + expectation;
    }

    static std::string describeDifference(const std::string &expectation, const json &expected,
                                          const json &actual)
    {
        return expected == actual ? ""
                                  : absl::StrCat(expectation, ": expected ", expected.dump(),
                                                 ", found ", actual.dump());
    }

    const absl::Time m_start = absl::FromUnixSeconds(1'700'000'000);
    absl::Time m_now = m_start;
    SeededRandom m_controlRandom;
    SeededRandom m_servingRandom;
    std::unique_ptr<ControlPlane> m_plane;
    std::unique_ptr<Ingress> m_ingress;
    std::vector<std::string> m_events; ///< Since the last expectation on events.
};

/// Number of expectations that failed, or -1 if the trace cannot be read or expects nothing.
int replayFile(const std::string &path)
{
    std::ifstream file(path);
    TraceReplay traceReplay;
    std::string text;
    int lineNumber = 0;
    int expectations = 0;
    int failures = 0;
    while (std::getline(file, text)) {
        ++lineNumber;
        if (text.empty() || text.front() == '#')
            continue;
        const json line = json::parse(text, nullptr, false);
        if (!line.is_object()) {
            std::cerr << path << ":" << lineNumber << ": not a JSON object\n";
            return -1;
        }
        expectations += line.contains("expect") ? 1 : 0;
        const std::string problem = traceReplay.processLine(line);
        if (!problem.empty()) {
            std::cerr << path << ":" << lineNumber << ": " << problem << "\n";
            ++failures;
        }
    }
    return expectations == 0 ? -1 : failures;
}

} // namespace

int main(int argc, char **argv)
{
    int failedTraces = argc < 2 ? 1 : 0;
    for (int i = 1; i < argc; ++i) {
        const int failedExpectations = replayFile(argv[i]);
        std::cout << argv[i] << ": " << (failedExpectations == 0 ? "as stated" : "differs") << "\n";
        failedTraces += failedExpectations == 0 ? 0 : 1;
    }
    return failedTraces == 0 ? 0 : 1;
}
