/// \file
/// Heads of HTTP messages as values, and the rules for their header fields.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace godwitlift {

/// One header field, its name as it was sent.
struct HeaderField
{
    std::string name;
    std::string value;
};

/// Header fields in the order in which they were sent.
class HeaderFields final
{
public:
    void add(std::string name, std::string value)
    {
        m_fields.push_back({ std::move(name), std::move(value) });
    }
    /// Value of the first field of that name, compared without case; none if there is none.
    std::optional<std::string_view> find(std::string_view name) const;
    std::size_t count(std::string_view name) const;
    const std::vector<HeaderField> &all() const { return m_fields; }

private:
    std::vector<HeaderField> m_fields;
};

/// Head of a request.
struct RequestHead
{
    std::string method;
    std::string target; ///< Path and query, byte for byte.
    HeaderFields fields;
    bool keepsAlive = true;
    bool expectsContinue = false;
};

/// A whole request.
struct HttpRequest
{
    RequestHead head;
    std::string body;
};

/// Head of a response.
struct ResponseHead
{
    unsigned status = 0;
    std::string reasonPhrase;
    HeaderFields fields;
    bool keepsAlive = true;
    bool endsWithConnection = false; ///< The body has neither a length nor chunks.
    std::optional<std::uint64_t> contentLength;
};

/// True for fields that concern only one connection. \p connectionValue is the value of the
/// message's `Connection` field; the fields that it names are of that kind too.
bool isHopByHop(std::string_view fieldName, std::string_view connectionValue);

/// Appends every field that is passed on, as lines that end with CRLF, without framing fields.
/// Fields named in \p except (compared without case) are left out.
void appendForwardedFields(const HeaderFields &fields, const std::vector<std::string_view> &except,
                           std::string &out);

/// Standard phrase for a status code.
std::string_view reasonPhrase(unsigned status);

/// Compares without regard to ASCII case.
bool equalsIgnoringCase(std::string_view a, std::string_view b);

} // namespace godwitlift
