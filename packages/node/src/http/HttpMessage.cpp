/// \file
/// Lookup and forwarding of header fields.
#include "http/HttpMessage.h"

#include "godwitlift/base/AbslStringView.h"

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <boost/beast/http/status.hpp>

#include <algorithm>
#include <array>

namespace godwitlift {

bool equalsIgnoringCase(std::string_view a, std::string_view b)
{
    return absl::EqualsIgnoreCase(toAbslStringView(a), toAbslStringView(b));
}

std::size_t heldBytes(const RequestHead &head)
{
    std::size_t bytes = head.target.capacity();
    for (const HeaderField &field : head.fields.all())
        bytes += sizeof field + field.name.capacity() + field.value.capacity();
    return bytes;
}

std::optional<std::string_view> HeaderFields::find(std::string_view name) const
{
    for (const HeaderField &field : m_fields) {
        if (equalsIgnoringCase(field.name, name))
            return field.value;
    }
    return std::nullopt;
}

std::vector<std::string_view> HeaderFields::findAll(std::string_view name) const
{
    std::vector<std::string_view> values;
    for (const HeaderField &field : m_fields) {
        if (equalsIgnoringCase(field.name, name))
            values.emplace_back(field.value);
    }
    return values;
}

std::size_t HeaderFields::count(std::string_view name) const
{
    return static_cast<std::size_t>(
            std::count_if(m_fields.begin(), m_fields.end(), [&](const HeaderField &field) {
                return equalsIgnoringCase(field.name, name);
            }));
}

bool isHopByHop(std::string_view fieldName, std::string_view connectionValue)
{
    static constexpr std::array<std::string_view, 9> HopByHopFields = {
        "connection", "keep-alive", "proxy-authenticate", "proxy-connection", "proxy-authorization",
        "te",         "trailer",    "transfer-encoding",  "upgrade"
    };
    for (const std::string_view name : HopByHopFields) {
        if (equalsIgnoringCase(fieldName, name))
            return true;
    }
    if (connectionValue.empty())
        return false;
    for (const absl::string_view token : absl::StrSplit(toAbslStringView(connectionValue), ',')) {
        const absl::string_view trimmed = absl::StripAsciiWhitespace(token);
        if (equalsIgnoringCase(fieldName, std::string_view(trimmed.data(), trimmed.size())))
            return true;
    }
    return false;
}

void appendEndToEndFields(const HeaderFields &fields, const std::vector<std::string_view> &excluded,
                          std::string &out)
{
    const std::string_view connection = fields.find("connection").value_or(std::string_view());
    for (const HeaderField &field : fields.all()) {
        const bool isHandledByNode = equalsIgnoringCase(field.name, "content-length")
                                     || equalsIgnoringCase(field.name, "expect");
        const bool isExcluded =
                std::any_of(excluded.begin(), excluded.end(), [&](std::string_view name) {
                    return equalsIgnoringCase(field.name, name);
                });
        if (isHandledByNode || isExcluded || isHopByHop(field.name, connection))
            continue;
        absl::StrAppend(&out, field.name, ": ", field.value, "\r\n");
    }
}

std::string_view reasonPhrase(unsigned status)
{
    const auto phrase =
            boost::beast::http::obsolete_reason(boost::beast::http::int_to_status(status));
    return { phrase.data(), phrase.size() };
}

} // namespace godwitlift
