/// \file
/// State machine of a claim and the format of its row.
#include "godwitlift/serving/KeyClaim.h"

#include "godwitlift/base/Hashing.h"
#include "godwitlift/json/ObjectReader.h"

#include <limits>

namespace godwitlift {

namespace {

using nlohmann::json;

std::string rowValueOf(const KeyOwner &owner)
{
    return json{
        { "host", owner.host.value() },
        { "incarnation", owner.incarnation.value() },
        { "claimed_unix_ms", absl::ToUnixMillis(owner.claimTime) }
    }.dump();
}

std::optional<KeyOwner> ownerFromRow(const TableRow &row)
{
    constexpr std::uint64_t MaxValue = std::numeric_limits<std::int64_t>::max();
    const json value = json::parse(row.value, nullptr, false);
    std::vector<InputFault> faults;
    ObjectReader reader(value, "claim", faults);
    KeyOwner owner;
    owner.host = HostId(reader.requiredText("host"));
    owner.incarnation = Incarnation(reader.requiredInteger("incarnation", 0, MaxValue));
    owner.claimTime = absl::FromUnixMillis(
            static_cast<std::int64_t>(reader.requiredInteger("claimed_unix_ms", 0, MaxValue)));
    if (!faults.empty())
        return std::nullopt;
    return owner;
}

} // namespace

KeyClaim::KeyClaim(const IdempotencyKey &key, KeyOwner self, absl::Time deadline)
    : m_rowKey(rowKey(key))
    , m_self(std::move(self))
    , m_deadline(deadline)
{}

std::string KeyClaim::rowKey(const IdempotencyKey &key)
{
    return "claim/" + digestOf(key.value()).value();
}

PlatformOperation KeyClaim::start()
{
    m_isWriting = true;
    return Transact{ { { { m_rowKey, 1, rowValueOf(m_self) }, RowCondition::absent() } } };
}

std::optional<PlatformOperation> KeyClaim::onPlatformAnswer(const PlatformAnswer &answer,
                                                            absl::Time now)
{
    if (m_isWriting) {
        if (answer.outcome == PlatformOutcome::Ok) {
            m_result = m_self;
            return std::nullopt;
        }
        if (answer.outcome == PlatformOutcome::Unavailable || now >= m_deadline) {
            m_result = ClaimFailed{};
            return std::nullopt;
        }
        m_isWriting = false;
        return FetchRow{ m_rowKey };
    }
    if (answer.outcome == PlatformOutcome::Ok && !answer.rows.empty()) {
        const auto owner = ownerFromRow(answer.rows.front());
        m_result = owner ? ClaimResult(*owner) : ClaimResult(ClaimFailed{});
        return std::nullopt;
    }
    if (answer.outcome == PlatformOutcome::NotFound && now < m_deadline)
        return start();
    m_result = ClaimFailed{};
    return std::nullopt;
}

} // namespace godwitlift
